import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A service has a route for lookups and, below it, one for orders, whose prefix has a letter beyond ASCII in the form in
 * which it stands in paths. For some seconds half of its backend servers lose the answer of a few requests that they ran.
 */
final class EscapedPrefix {

    private static final int GATEWAYS = 2;

    private static final int SERVERS = 6;

    private static final int TIME_LIMIT_SECONDS = 110;

    /** One answer in so many is lost at the disrupted backend servers: 20 in 100. */
    private static final int LOST_EVERY = 5;

    private static final int CALM_MILLISECONDS = 2000;

    private static final int DISRUPTION_MILLISECONDS = 4000;

    private static final int GAP_MILLISECONDS = 9;

    private static final int WORK_MILLISECONDS = 140;

    private static final String LOOKUP_PREFIX = "/jobs/";

    /** "naročila": orders. */
    private static final String ORDER_PREFIX = "/jobs/naro%C4%8Dila/";

    private EscapedPrefix() {}

    /** Loses the answer of some requests that it ran, while the disruption lasts. */
    private static final class LosingServer extends ServerStandIn {

        private final AtomicBoolean losing;

        private final Record record;

        private final AtomicInteger answers = new AtomicInteger();

        LosingServer(String identity, AtomicBoolean losing, Record record) throws IOException {
            super("127.0.0.3", identity, "jobs", 4, WORK_MILLISECONDS, record);
            this.losing = losing;
            this.record = record;
        }

        @Override
        void sendAnswer(Socket connection, Http.Head head, String request) throws IOException {
            if (losing != null && losing.get() && answers.incrementAndGet() % LOST_EVERY == 0) {
                record.note("the answer of " + request + " is lost at " + identity);
                connection.setSoLinger(true, 0);
                connection.close();
                return;
            }
            super.sendAnswer(connection, head, request);
        }
    }

    public static void main(String[] arguments) throws Exception {
        Threads.endAfter(TIME_LIMIT_SECONDS);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                StoreStandIn store = new StoreStandIn("127.0.0.2");
                Fleet fleet = new Fleet(store.address(), GATEWAYS)) {
            AtomicBoolean losing = new AtomicBoolean();
            List<ServerStandIn> servers = new ArrayList<>();
            for (int index = 0; index < SERVERS; index++) {
                ServerStandIn server = new LosingServer("i-" + index, index % 2 == 0 ? losing : null, record);
                servers.add(server);
                store.put("servers/" + server.identity, server.entry("ready", 1));
            }
            store.put(
                    "op/config",
                    Configurations.print(
                            7,
                            List.of(
                                    Configurations.route("lookup", LOOKUP_PREFIX, "safe", 1200, "jobs"),
                                    Configurations.route("order", ORDER_PREFIX, "unsafe", 1500, "jobs")),
                            List.of("jobs")));
            fleet.startAll();
            Caller caller = new Caller(fleet, record);
            List<Thread> senders = new ArrayList<>();
            List<String> orders = new ArrayList<>();
            long start = record.milliseconds();
            for (int count = 0; record.milliseconds() - start < CALM_MILLISECONDS + DISRUPTION_MILLISECONDS; count++) {
                if (trouble && record.milliseconds() - start >= CALM_MILLISECONDS && losing.compareAndSet(false, true)) {
                    record.note("half of the backend servers begin to lose answers");
                }
                int gateway = count % GATEWAYS;
                boolean order = count % 4 < 2;
                String request = (order ? "order-" : "lookup-") + count;
                if (order) {
                    orders.add(request);
                }
                senders.add(Threads.start("sender", () -> {
                    if (order) {
                        byte[] body = ("slabs for " + request).getBytes(StandardCharsets.UTF_8);
                        caller.send(gateway, "POST", Configurations.HOST, ORDER_PREFIX + "1", request, 1500, body);
                    } else {
                        caller.send(gateway, "GET", Configurations.HOST, LOOKUP_PREFIX + "1", request, 1200, null);
                    }
                }));
                Thread.sleep(GAP_MILLISECONDS);
            }
            for (Thread sender : senders) {
                sender.join();
            }
            int twice = 0;
            for (String order : orders) {
                if (record.runsOf(order) > 1) {
                    twice++;
                    record.note("twice: " + order + " ran " + record.runsOf(order) + " times");
                }
            }
            String result = twice + " of " + orders.size() + " requests on an unsafe route ran more than once";
            record.note(result);
            System.out.println(result);
            for (ServerStandIn server : servers) {
                server.close();
            }
            fleet.close();
            record.close();
            System.exit(twice > 0 ? 1 : 0);
        } catch (Exception exception) {
            exception.printStackTrace();
            System.exit(2);
        }
    }
}
