package org.chivecourse.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;

/** Describes the differences between two configurations. */
final class ConfigurationComparison {

    /** Prevents instantiation. */
    private ConfigurationComparison() {}

    /**
     * Returns why a configuration cannot follow another one: gateways keep the configuration in force if the new
     * revision is not higher, and a parent digest that differs indicates a concurrent change by another operator.
     *
     * @param before the configuration in force
     * @param after the new configuration
     * @return the problems, empty if there are none
     */
    static List<String> findOrderProblems(PrintedConfiguration before, PrintedConfiguration after) {
        List<String> problems = new ArrayList<>();
        long currentRevision = before.configuration().revision();
        long nextRevision = after.configuration().revision();
        if (nextRevision <= currentRevision) {
            problems.add("revision " + nextRevision + " is not higher than " + currentRevision
                    + ", gateways would keep " + currentRevision);
        }
        if (!after.configuration().parentDigest().equals(before.digest())) {
            problems.add("parent \"" + after.configuration().parentDigest() + "\" is not the digest \""
                    + before.digest() + "\" of the configuration in force; another operator may have changed it");
        }
        return problems;
    }

    /**
     * Describes the differences in services, backend servers and their settings.
     *
     * @param before the configuration in force
     * @param after the new configuration
     * @return the differences, one a line; a single line that states so if there are none
     */
    static List<String> describeChanges(Configuration before, Configuration after) {
        List<String> lines = new ArrayList<>();
        for (Service old : before.services()) {
            if (after.service(old.name()).isEmpty()) {
                lines.add("service " + old.name() + ": removed");
            }
        }
        for (Service next : after.services()) {
            Optional<Service> old = before.service(next.name());
            if (old.isEmpty()) {
                lines.add("service " + next.name() + ": added with "
                        + next.backendServers().size() + " backend servers");
                continue;
            }
            addChanges(lines, old.get(), next);
        }
        addChange(lines, "evacuated data centres", before.evacuatedDataCentres(), after.evacuatedDataCentres());
        if (lines.isEmpty()) {
            lines.add("no service changes");
        }
        return lines;
    }

    /**
     * Adds the differences of a service that both configurations contain.
     *
     * @param lines receives the differences
     * @param old the service in the configuration in force
     * @param next the service in the new configuration
     */
    private static void addChanges(List<String> lines, Service old, Service next) {
        String prefix = "service " + next.name() + ": ";
        addChange(lines, prefix + "path-prefix", old.pathPrefix(), next.pathPrefix());
        addChange(lines, prefix + "priority", old.priority(), next.priority());
        addChange(lines, prefix + "limits", old.limits(), next.limits());
        addChange(lines, prefix + "refusal", old.refusal(), next.refusal());
        addChange(lines, prefix + "measuring", old.measuring(), next.measuring());
        addChange(lines, prefix + "warm-up", old.warmUp(), next.warmUp());
        addChange(lines, prefix + "routes", old.routes(), next.routes());
        Map<String, BackendServer> removedServers = new LinkedHashMap<>();
        old.backendServers().forEach(server -> removedServers.put(server.address(), server));
        for (BackendServer server : next.backendServers()) {
            BackendServer oldServer = removedServers.remove(server.address());
            addChange(lines, prefix + "backend server " + server.address(), oldServer, server);
        }
        removedServers.keySet().forEach(address -> lines.add(prefix + "backend server " + address + ": removed"));
    }

    /**
     * Adds a line if a value differs.
     *
     * @param lines receives the line
     * @param subject the setting or the backend server that the value belongs to
     * @param old the old value, {@code null} if there is none
     * @param next the new value
     */
    private static void addChange(List<String> lines, String subject, Object old, Object next) {
        if (!Objects.equals(old, next)) {
            lines.add(subject + ": " + (old == null ? "added" : old + " -> " + next));
        }
    }
}
