import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One kind of request has large header fields, as with cookies, within the limits that the operator set. Another kind has
 * small ones. In calm, both are served.
 */
final class LargeHeaders {

    private static final int GATEWAYS = 2;

    private static final int REQUESTS = 200;

    private static final int TIME_LIMIT_SECONDS = 110;

    /** The size of the large head: within MaxHeaderBytes, 16,384. */
    private static final int LARGE_HEAD_BYTES = 15_500;

    /** What TCP sends on a new connection before the first acknowledgement: ten segments of 1,448 bytes. */
    private static final int FIRST_FLIGHT_BYTES = 14_480;

    /** The 8 ms to clients of the grown deployment, there and back. */
    private static final int ROUND_TRIP_MILLISECONDS = 16;

    private static final int SMALL_HEAD_BYTES = 400;

    private static final int FIELD_BYTES = 3000;

    private LargeHeaders() {}

    private static String head(String path, String request, int bytes) {
        StringBuilder head = new StringBuilder("GET " + path + " HTTP/1.1\r\nHost: " + Configurations.HOST
                + "\r\nX-Chivecourse-Request-Id: " + request + "\r\nX-Chivecourse-Deadline-Ms: 1500\r\n");
        for (int index = 0; head.length() + 40 < bytes; index++) {
            int length = Math.min(FIELD_BYTES, bytes - head.length() - 40);
            head.append("X-Context-").append(index).append(": ").append("c".repeat(length)).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    private static boolean served(Fleet fleet, Record record, int gateway, String path, String request, int bytes) {
        String head = head(path, request, bytes);
        record.note("sent " + request + " to gateway " + gateway + " with a head of " + head.length() + " bytes");
        int status = 0;
        String failure = "";
        try (Socket socket = fleet.openCaller(gateway)) {
            socket.setSoTimeout(2500);
            int first = Math.min(FIRST_FLIGHT_BYTES, head.length());
            Http.write(socket, head.substring(0, first), new byte[0]);
            if (first < head.length()) {
                Thread.sleep(ROUND_TRIP_MILLISECONDS);
                Http.write(socket, head.substring(first), new byte[0]);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Caller.Answer answer = Caller.read(in);
            status = answer.status();
            failure = String.valueOf(answer.failure());
        } catch (IOException | InterruptedException exception) {
            failure = exception.toString();
        }
        record.note("answered " + request + " " + status + " " + failure);
        return status == 200;
    }

    public static void main(String[] arguments) throws Exception {
        Threads.endAfter(TIME_LIMIT_SECONDS);
        int largeBytes = "0".equals(System.getenv("TROUBLE")) ? SMALL_HEAD_BYTES : LARGE_HEAD_BYTES;
        try (Record record = new Record(Path.of(arguments[0]));
                StoreStandIn store = new StoreStandIn("127.0.0.2");
                Fleet fleet = new Fleet(store.address(), GATEWAYS)) {
            List<ServerStandIn> servers = new ArrayList<>();
            for (int index = 0; index < 4; index++) {
                ServerStandIn server = new ServerStandIn(
                        "127.0.0.3", "i-" + index, index < 2 ? "jobs" : "archive", 4, 10, record);
                servers.add(server);
                store.put("servers/" + server.identity, server.entry("ready", 1));
            }
            store.put(
                    "op/config",
                    Configurations.print(
                            7,
                            List.of(
                                    Configurations.route("lookup", "/lookup/", "safe", 1500, "jobs"),
                                    Configurations.route("record", "/record/", "safe", 1500, "archive")),
                            List.of("jobs", "archive")));
            fleet.startAll();
            int small = 0;
            int large = 0;
            for (int count = 0; count < REQUESTS; count++) {
                small += served(fleet, record, count % GATEWAYS, "/lookup/a", "lookup-" + count, SMALL_HEAD_BYTES) ? 1 : 0;
                large += served(fleet, record, count % GATEWAYS, "/record/a", "pull-" + count, largeBytes) ? 1 : 0;
            }
            double all = (small + large) / (2.0 * REQUESTS);
            boolean starved = (double) large / REQUESTS < all / 4;
            String result = "served: " + small + " of " + REQUESTS + " requests of the one kind, " + large + " of " + REQUESTS
                    + " of the kind with large heads; the rule is " + (starved ? "broken" : "kept");
            record.note(result);
            System.out.println(result);
            fleet.close();
            record.close();
            System.exit(starved ? 1 : 0);
        } catch (Exception exception) {
            exception.printStackTrace();
            System.exit(2);
        }
    }
}
