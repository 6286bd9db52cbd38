import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The store comes back from a copy some seconds old. What its operator and the backend servers wrote is written again.
 * Then, in calm, the operator writes a new version. Long after its acknowledgement each gateway is asked which version
 * it follows.
 */
final class RestoredStore {

    private static final int GATEWAYS = 3;

    private static final int CONFIG_APPLY_MILLISECONDS = 2000;

    private static final int MAXIMUM_STRETCH_MILLISECONDS = 5000;

    private static final int STABLE_WINDOW_MILLISECONDS = 3000;

    private static final int ROUNDS = 10;

    private static final int TIME_LIMIT_SECONDS = 110;

    private RestoredStore() {}

    private static String configuration(long version, int timeout, String orderService, boolean newRoute) {
        List<String> routes = new ArrayList<>();
        routes.add(Configurations.route("lookup", "/lookup/", "safe", timeout, "jobs"));
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
            List<ServerStandIn> servers = new ArrayList<>();
            for (int index = 0; index < 6; index++) {
                ServerStandIn server = new ServerStandIn(
                        "127.0.0.3", "i-" + index, index < 3 ? "jobs" : "archive", 4, 30, record);
                servers.add(server);
                store.put("servers/" + server.identity, server.entry("ready", 1));
            }
            store.put("op/config", configuration(7, 1200, "jobs", false));
            fleet.startAll();
            Caller caller = new Caller(fleet, record);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                expect(caller.send(gateway, "GET", Configurations.HOST, "/lookup/a", "first-" + gateway, 1200, null));
            }

            StoreStandIn.Copy copy = store.copy();
            record.note("the copy has revision " + copy.revision());
            // An added backend server warms up, which it says in its entry, and two changes of the configuration follow.
            ServerStandIn added = new ServerStandIn("127.0.0.3", "i-added", "jobs", 4, 30, record);
            servers.add(added);
            for (int beat = 1; beat <= 4; beat++) {
                store.put("servers/i-added", added.entry("ready", beat).replace("Ms\":0", "Ms\":" + (3000 - 750 * beat)));
                Thread.sleep(750);
            }
            record.note("version 9 acknowledged at " + store.put("op/config", configuration(9, 1300, "jobs", false)));
            Thread.sleep(300);
            record.note("version 12 acknowledged at " + store.put("op/config", configuration(12, 1400, "jobs", false)));
            Thread.sleep(200);
            if (trouble) {
                store.goAway();
                record.note("the store is away");
                Thread.sleep(1000);
                store.comeBackFrom(copy);
                record.note("the store is back from the copy");
                record.note("version 12 written again at "
                        + store.put("op/config", configuration(12, 1400, "jobs", false)));
                Thread.sleep(500);
                record.note("entry written again at " + store.put("servers/i-added", added.entry("ready", 6)));
            }
            Thread.sleep(STABLE_WINDOW_MILLISECONDS + MAXIMUM_STRETCH_MILLISECONDS);
            long callsBefore = store.calls.get();
            Thread.sleep(1000);
            record.note("the gateways made " + (store.calls.get() - callsBefore) + " calls of the store in a second");

            long acknowledged = store.put("op/config", configuration(15, 1400, "archive", true));
            long acknowledgedAt = record.milliseconds();
            record.note("version 15 acknowledged at " + acknowledged);
            Thread.sleep(CONFIG_APPLY_MILLISECONDS + MAXIMUM_STRETCH_MILLISECONDS);
            int broken = 0;
            int requests = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                    String order = "order-" + round + "-" + gateway;
                    Caller.Answer answer = caller.send(
                            gateway, "POST", Configurations.HOST, "/order/a", order, 1500, "slabs".getBytes("UTF-8"));
                    broken += answer.body().endsWith("by jobs") ? 1 : 0;
                    String pull = "pull-" + round + "-" + gateway;
                    answer = caller.send(gateway, "GET", Configurations.HOST, "/record/a", pull, 1500, null);
                    broken += answer.status() == 404 ? 1 : 0;
                    requests += 2;
                }
                if (round == ROUNDS / 2) {
                    // Later ordinary writes carry the store beyond the revision that it had before it went away.
                    for (int beat = 10; beat < 20; beat++) {
                        store.put("servers/i-added", added.entry("ready", beat).replace("Ms\":0", "Ms\":" + beat));
                    }
                    record.note("the store has revision " + store.revision());
                    Thread.sleep(CONFIG_APPLY_MILLISECONDS + MAXIMUM_STRETCH_MILLISECONDS);
                }
                Thread.sleep(200);
            }
            String result = broken + " of " + requests + " requests, sent "
                    + (CONFIG_APPLY_MILLISECONDS + MAXIMUM_STRETCH_MILLISECONDS) + " ms or more after the acknowledgement"
                    + " of version 15 at " + acknowledgedAt + " ms, were handled as only an older version allows";
            record.note(result);
            System.out.println(result);
            for (ServerStandIn server : servers) {
                server.close();
            }
            fleet.close();
            record.close();
            System.exit(broken > 0 ? 1 : 0);
        } catch (Exception exception) {
            exception.printStackTrace();
            System.exit(2);
        }
    }

    private static void expect(Caller.Answer answer) {
        if (answer.status() != 200) {
            throw new IllegalStateException("a request in calm was answered " + answer);
        }
    }
}
