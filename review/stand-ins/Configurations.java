import java.util.List;

/** Prints configurations as the platform's operator writes them. */
final class Configurations {

    /** The host of all routes. */
    static final String HOST = "ficu95.example";

    private Configurations() {}

    /** Returns a row of a route that one service takes. */
    static String route(String name, String prefix, String type, int timeoutMilliseconds, String service) {
        return "[\"" + name + "\",\"" + HOST + "\",\"" + prefix + "\",\"" + type + "\"," + timeoutMilliseconds + ","
                + timeoutMilliseconds / 2 + ",1,null,2,\"" + service + "\"]";
    }

    /** Returns a configuration of routes, whose services have the usual health path. */
    static String print(long version, List<String> routes, List<String> services) {
        StringBuilder rows = new StringBuilder();
        for (String service : services) {
            rows.append(rows.length() == 0 ? "" : ",")
                    .append("[\"")
                    .append(service)
                    .append("\",\"/health\",220,\"h1\",false]");
        }
        return "{\"Version\":" + version
                + ",\"Routes\":{\"Columns\":[\"Name\",\"Host\",\"Prefix\",\"RouteType\",\"TimeoutMs\","
                + "\"TargetLatencyMs\",\"Priority\",\"TrafficSplit\",\"MaxAttempts\",\"Service\"],\"Rows\":["
                + String.join(",", routes)
                + "]},\"Services\":{\"Columns\":[\"Name\",\"HealthPath\",\"MaxConnections\",\"Protocol\",\"Tls\"],"
                + "\"Rows\":[" + rows + "]},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
                + "\"HeaderTimeoutMs\":10000,\"IdleTimeoutMs\":60000}}";
    }
}
