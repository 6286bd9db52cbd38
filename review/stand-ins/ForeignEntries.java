import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer leaves entries beside those of the backend servers, whose bytes nobody can read. Then the operator
 * writes a version. Long after its acknowledgement each gateway is asked which version it follows.
 */
final class ForeignEntries {

    private static final int GATEWAYS = 3;

    private static final int FOREIGN_ENTRIES = 7;

    /** The largest value that the store holds. */
    private static final int VALUE_BYTES = 1_048_576;

    private static final int CONFIG_APPLY_MILLISECONDS = 2000;

    private static final int MAXIMUM_STRETCH_MILLISECONDS = 5000;

    private static final int STABLE_WINDOW_MILLISECONDS = 3000;

    private static final int ROUNDS = 10;

    private static final int TIME_LIMIT_SECONDS = 110;

    private ForeignEntries() {}

    private static String configuration(long version, String orderService, boolean newRoute) {
        List<String> routes = new ArrayList<>();
        routes.add(Configurations.route("lookup", "/lookup/", "safe", 1200, "jobs"));
        routes.add(Configurations.route("order", "/order/", "unsafe", 1500, orderService));
        if (newRoute) {
            routes.add(Configurations.route("record", "/record/", "safe", 1500, "archive"));
        }
        return Configurations.print(version, routes, List.of("jobs", "archive"));
    }

    public static void main(String[] arguments) throws Exception {
        Threads.endAfter(TIME_LIMIT_SECONDS);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                StoreStandIn store = new StoreStandIn("127.0.0.2");
                Fleet fleet = new Fleet(store.address(), GATEWAYS)) {
            for (int index = 0; index < 6; index++) {
                ServerStandIn server = new ServerStandIn(
                        "127.0.0.3", "i-" + index, index < 3 ? "jobs" : "archive", 4, 30, record);
                store.put("servers/" + server.identity, server.entry("ready", 1));
            }
            store.put("op/config", configuration(7, "jobs", false));
            fleet.startAll();
            Caller caller = new Caller(fleet, record);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                String request = "first-" + gateway;
                if (caller.send(gateway, "GET", Configurations.HOST, "/lookup/a", request, 1200, null).status() != 200) {
                    throw new IllegalStateException("a request in calm was not served");
                }
            }
            if (trouble) {
                String unreadable = "\u0001".repeat(VALUE_BYTES);
                for (int index = 0; index < FOREIGN_ENTRIES; index++) {
                    record.note("a foreign entry of " + unreadable.getBytes(StandardCharsets.UTF_8).length
                            + " bytes acknowledged at " + store.put("servers/foreign-" + index, unreadable));
                }
            }
            Thread.sleep(STABLE_WINDOW_MILLISECONDS + MAXIMUM_STRETCH_MILLISECONDS);
            record.note("version 9 acknowledged at " + store.put("op/config", configuration(9, "archive", true)));
            long acknowledgedAt = record.milliseconds();
            Thread.sleep(CONFIG_APPLY_MILLISECONDS + MAXIMUM_STRETCH_MILLISECONDS);
            int broken = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                    Caller.Answer answer = caller.send(gateway, "POST", Configurations.HOST, "/order/a",
                            "order-" + round + "-" + gateway, 1500, "slabs".getBytes(StandardCharsets.UTF_8));
                    broken += answer.body().endsWith("by jobs") ? 1 : 0;
                    answer = caller.send(gateway, "GET", Configurations.HOST, "/record/a",
                            "pull-" + round + "-" + gateway, 1500, null);
                    broken += answer.status() == 404 ? 1 : 0;
                }
                Thread.sleep(1000);
            }
            String result = broken + " of " + 2 * ROUNDS * GATEWAYS + " requests, sent "
                    + (CONFIG_APPLY_MILLISECONDS + MAXIMUM_STRETCH_MILLISECONDS) + " ms or more after the acknowledgement"
                    + " of version 9 at " + acknowledgedAt + " ms, were handled as only an older version allows";
            record.note(result);
            System.out.println(result);
            restartAll(fleet, record);
            fleet.close();
            record.close();
            System.exit(broken > 0 ? 1 : 0);
        } catch (Exception exception) {
            exception.printStackTrace();
            System.exit(2);
        }
    }

    /** Shows what a loss of all gateways does then. The result of the case does not depend on it. */
    private static void restartAll(Fleet fleet, Record record) throws Exception {
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            fleet.process(gateway).destroyForcibly().waitFor();
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            fleet.start(gateway);
        }
        Thread.sleep(15_000);
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            record.note("gateway " + gateway + " is " + (fleet.ready(gateway) ? "" : "not ")
                    + "ready 15 s after all were killed and started again");
        }
    }
}
