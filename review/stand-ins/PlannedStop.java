import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A gateway is stopped as planned while the backend servers of a service are busy. Each request that it has read gets a
 * complete answer, or was at work at a backend server in the last sixth of the grace.
 */
final class PlannedStop {

    private static final int GATEWAYS = 2;

    private static final int TIME_LIMIT_SECONDS = 110;

    /** The time for which the load goes on before the signal. */
    private static final int LOAD_MILLISECONDS = 10_000;

    /** The time after the signal until which requests are sent, while the gateway still takes connections. */
    private static final int SENDING_MILLISECONDS = 2400;

    private static final int SERVERS = 3;

    private static final int SLOTS = 3;

    private static final int WORK_MILLISECONDS = 500;

    /** The time between two requests: a steady load above what the backend servers can serve. */
    private static final int GAP_MILLISECONDS = 34;

    /** What the clients grant, and the TimeoutMs of the routes. */
    private static final int TIME_LIMIT_MILLISECONDS = 6000;

    private static final int TARGET_LATENCY_MILLISECONDS = 5000;

    private PlannedStop() {}

    /** A request: when it was sent, how it ended, in milliseconds of the record. */
    private record Sent(String request, int gateway, long sentAt, long endedAt, int status, String failure) {}

    /** Notes when it began and ended each run. */
    private static final class BusyServer extends ServerStandIn {

        final List<String> begun = new CopyOnWriteArrayList<>();

        BusyServer(String identity, int slots, long work, Record record) throws IOException {
            super("127.0.0.3", identity, "archive", slots, work, record);
        }

        @Override
        void work(Http.Head head) throws InterruptedException {
            begun.add(head.field("X-Chivecourse-Request-Id"));
            super.work(head);
        }
    }

    private static String route(String name, String prefix, String type) {
        return Configurations.route(name, prefix, type, TIME_LIMIT_MILLISECONDS, "archive")
                .replace("," + TIME_LIMIT_MILLISECONDS / 2 + ",", "," + TARGET_LATENCY_MILLISECONDS + ",");
    }

    private static Sent send(Fleet fleet, Record record, int gateway, String request, boolean order) {
        long sentAt = record.milliseconds();
        record.note("sent " + request + " to gateway " + gateway);
        String line = order ? "POST /order/a HTTP/1.1\r\nContent-Length: 5" : "GET /record/a HTTP/1.1";
        int status = 0;
        String failure = "";
        try (Socket socket = fleet.openCaller(gateway)) {
            socket.setSoTimeout(TIME_LIMIT_MILLISECONDS + 1000);
            Http.write(
                    socket,
                    line + "\r\nHost: " + Configurations.HOST + "\r\nX-Chivecourse-Request-Id: " + request
                            + "\r\nX-Chivecourse-Deadline-Ms: " + TIME_LIMIT_MILLISECONDS + "\r\n\r\n",
                    order ? "slabs".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
            Caller.Answer answer = Caller.read(new BufferedInputStream(socket.getInputStream()));
            status = answer.status();
            failure = String.valueOf(answer.failure());
        } catch (IOException exception) {
            failure = exception.toString();
        }
        record.note("answered " + request + " " + status + " " + failure);
        return new Sent(request, gateway, sentAt, record.milliseconds(), status, failure);
    }

    public static void main(String[] arguments) throws Exception {
        Threads.endAfter(TIME_LIMIT_SECONDS);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                StoreStandIn store = new StoreStandIn("127.0.0.2");
                Fleet fleet = new Fleet(store.address(), GATEWAYS)) {
            List<BusyServer> servers = new ArrayList<>();
            for (int index = 0; index < SERVERS; index++) {
                BusyServer server = new BusyServer("i-" + index, SLOTS, WORK_MILLISECONDS, record);
                servers.add(server);
                store.put("servers/" + server.identity, server.entry("ready", 1));
            }
            List<String> routes = List.of(route("record", "/record/", "safe"), route("order", "/order/", "unsafe"));
            store.put("op/config", Configurations.print(7, routes, List.of("archive")));
            fleet.startAll();
            List<Sent> sent = new CopyOnWriteArrayList<>();
            List<Thread> senders = new ArrayList<>();
            long start = record.milliseconds();
            long stopAt = start + LOAD_MILLISECONDS;
            long stoppedAt = 0;
            for (int count = 0; record.milliseconds() < stopAt + SENDING_MILLISECONDS; count++) {
                if (stoppedAt == 0 && record.milliseconds() >= stopAt) {
                    stoppedAt = record.milliseconds();
                    record.note("SIGTERM of gateway 0");
                    if (trouble) {
                        fleet.signal(0, "TERM");
                    }
                }
                int gateway = count % GATEWAYS;
                boolean order = count / GATEWAYS % 2 == 1;
                String request = (order ? "order-" : "pull-") + count;
                senders.add(Threads.start("sender", () -> sent.add(send(fleet, record, gateway, request, order))));
                Thread.sleep(GAP_MILLISECONDS);
            }
            for (Thread sender : senders) {
                sender.join();
            }
            int cut = 0;
            int cutOrders = 0;
            int served = 0;
            int refused = 0;
            for (Sent request : sent) {
                boolean begun = servers.stream().anyMatch(server -> server.begun.contains(request.request()));
                boolean own = request.gateway() == 0 && request.endedAt() >= stoppedAt;
                boolean late = request.endedAt() - request.sentAt() >= TIME_LIMIT_MILLISECONDS;
                if (own && request.status() == 0 && !begun && !late) {
                    cut++;
                    cutOrders += request.request().startsWith("order") ? 1 : 0;
                    record.note("cut: " + request.request() + " sent " + (request.sentAt() - stoppedAt)
                            + " ms after the signal, ended " + (request.endedAt() - stoppedAt)
                            + " ms after it, no backend server had begun it, " + request.failure());
                }
                served += request.status() == 200 ? 1 : 0;
                refused += request.status() >= 400 ? 1 : 0;
            }
            record.note("of " + sent.size() + " requests " + served + " were served, " + refused + " refused or failed");
            String result = cut + " requests, " + cutOrders + " of them not idempotent, that no backend server had begun were cut"
                    + " without an answer in a planned stop";
            record.note(result);
            System.out.println(result );
            fleet.close();
            record.close();
            System.exit(cut > 0 ? 1 : 0);
        } catch (Exception exception) {
            exception.printStackTrace();
            System.exit(2);
        }
    }
}
