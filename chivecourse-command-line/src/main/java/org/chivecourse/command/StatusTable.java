package org.chivecourse.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;

/** Formats the status of a gateway as a table. */
final class StatusTable {

    /** The mapper that parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instantiation. */
    private StatusTable() {}

    /**
     * Formats a status.
     *
     * @param json the status as JSON
     * @return the table
     * @throws JsonProcessingException if the text is not valid JSON
     */
    static String format(String json) throws JsonProcessingException {
        JsonNode root = MAPPER.readTree(json);
        StringBuilder text = new StringBuilder();
        JsonNode configuration = root.path("configuration");
        text.append(String.format(
                "host %s: %s, revision %d, open calls %d%n",
                root.path("host").asText(),
                root.path("state").asText(),
                configuration.path("revision").asLong(),
                root.path("open-calls").asInt()));
        addWarning(text, "CONFLICT", configuration.path("conflict").asText());
        addWarning(text, "LAST REJECTED", configuration.path("last-rejection").asText());
        configuration.path("dangers").forEach(danger -> addWarning(text, "DANGER", danger.asText()));
        root.path("platform")
                .properties()
                .forEach(replica -> text.append(String.format(
                        "  platform %s: last reached %s%s%n",
                        replica.getKey(),
                        replica.getValue().path("last-reached").asText(),
                        formatFailure(replica.getValue().path("failure").asText()))));
        root.path("evacuated-data-centres").forEach(evacuation -> addEvacuation(text, evacuation));
        root.path("hosts").forEach(host -> addHost(text, host));
        root.path("convictions")
                .forEach(conviction -> text.append(String.format(
                        "  convicted request %s for %d s%n",
                        conviction.path("fingerprint").asText(),
                        conviction.path("seconds").asLong())));
        root.path("services").forEach(service -> addService(text, service));
        return text.toString();
    }

    /**
     * Adds the line of an evacuated data centre.
     *
     * @param text receives the line
     * @param evacuation the evacuation's part of the status
     */
    private static void addEvacuation(StringBuilder text, JsonNode evacuation) {
        List<String> requests = new ArrayList<>();
        evacuation
                .path("requested-by")
                .forEach(request -> requests.add(String.format(
                        "%s %s, revision %d, from %s",
                        request.path("origin").asText(),
                        request.path("name").asText(),
                        request.path("revision").asLong(),
                        request.path("source").asText())));
        text.append(String.format(
                "  EVACUATED data centre %s: for %d ms, %d requests under way, by %s%n",
                evacuation.path("data-centre").asText(),
                evacuation.path("for-milliseconds").asLong(),
                evacuation.path("in-flight").asInt(),
                String.join("; ", requests)));
    }

    /**
     * Adds the line of a peer.
     *
     * @param text receives the line
     * @param host the peer's part of the status
     */
    private static void addHost(StringBuilder text, JsonNode host) {
        String name = host.path("name").asText();
        if (!host.path("known").asBoolean()) {
            text.append(String.format(
                    "  host %s: NOT KNOWN, silent for %d ms, last revision %s%n",
                    name,
                    host.path("silent-milliseconds").asLong(),
                    host.path("last-known-revision").asText("never heard")));
            return;
        }
        text.append(String.format(
                "  host %s: revision %d%s%n",
                name, host.path("revision").asLong(), host.path("stopping").asBoolean() ? ", stopping" : ""));
    }

    /**
     * Adds the lines of a service and its backend servers.
     *
     * @param text receives the lines
     * @param service the service's part of the status
     */
    private static void addService(StringBuilder text, JsonNode service) {
        text.append(String.format(
                "  service %s: %d waiting%n",
                service.path("name").asText(), service.path("waiting").asInt()));
        text.append(String.format(
                "    %-24s %-10s %-8s %9s %9s %9s%n",
                "backend server", "leaving", "ejected", "in flight", "sent", "failed"));
        for (JsonNode server : service.path("backend-servers")) {
            text.append(String.format(
                    "    %-24s %-10s %-8s %9d %9d %9d%s%n",
                    server.path("address").asText(),
                    server.path("leaving").asText(),
                    server.path("ejected").asText(),
                    server.path("in-flight").asInt(),
                    server.path("sent").asLong(),
                    server.path("failed").asLong(),
                    formatCold(server.path("cold-milliseconds"))));
        }
    }

    /**
     * Formats how long a backend server is cold for the end of its line.
     *
     * @param milliseconds the time, negative if it is cold until it is heard, missing if it is warm
     */
    private static String formatCold(JsonNode milliseconds) {
        if (milliseconds.isMissingNode()) {
            return "";
        }
        return milliseconds.asLong() < 0 ? "  cold until heard" : "  cold for " + milliseconds.asLong() + " ms";
    }

    /**
     * Adds a warning if it is not empty.
     *
     * @param text receives the line
     * @param kind the kind of the warning
     * @param warning the warning, empty for none
     */
    private static void addWarning(StringBuilder text, String kind, String warning) {
        if (!warning.isEmpty()) {
            text.append("  ").append(kind).append(": ").append(warning).append(System.lineSeparator());
        }
    }

    /**
     * Formats the failure of a platform replica for the end of its line.
     *
     * @param reason why the replica could not be read, empty if it answers
     */
    private static String formatFailure(String reason) {
        return reason.isEmpty() ? "" : ", not reached since: " + reason;
    }
}
