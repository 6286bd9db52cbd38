package org.chivecourse.gateway.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.chivecourse.configuration.document.MappingReader;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.configuration.ConfigurationRegister;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.gateway.audit.AuditRecord;
import org.chivecourse.state.server.ServerState;

/** Prints the status of a gateway as JSON. */
public final class StatusPrinter {

    /** The mapper that prints trees. */
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Returns the status.
     *
     * @param host the name of the host
     * @param state the state of the gateway
     * @param core the decision core
     * @param now the time in nanoseconds
     * @param changes the latest changes
     * @return the status as a tree
     */
    public ObjectNode status(String host, String state, HostCore core, long now, List<AuditRecord> changes) {
        ObjectNode root = mapper.createObjectNode();
        root.put("host", host);
        root.put("state", state);
        root.put("open-calls", core.openCalls());
        addConfiguration(root.putObject("configuration"), core.configurations());
        ArrayNode services = root.putArray("services");
        core.services().all().forEach(service -> addService(services.addObject(), service, now));
        ArrayNode trail = root.putArray("changes");
        changes.forEach(change -> addChange(trail.addObject(), change));
        return root;
    }

    /**
     * Adds what is known of configurations.
     *
     * @param node receives the values
     * @param configurations the register of configurations
     */
    private static void addConfiguration(ObjectNode node, ConfigurationRegister configurations) {
        node.put("revision", configurations.revision());
        configurations.current().ifPresent(current -> {
            node.put("digest", current.printed().digest());
            ArrayNode dangers = node.putArray("dangers");
            current.dangers().forEach(danger -> dangers.add(danger.problem()));
        });
        node.put("conflict", configurations.conflict());
        node.put("last-rejection", configurations.rejection());
    }

    /**
     * Adds a service.
     *
     * @param node receives the values
     * @param service the service
     * @param now the time in nanoseconds
     */
    private static void addService(ObjectNode node, ServiceState service, long now) {
        node.put("name", service.service().name());
        node.put("waiting", service.waiting().size());
        ArrayNode servers = node.putArray("backend-servers");
        for (ServerState server : service.servers()) {
            ObjectNode entry = servers.addObject();
            entry.put("address", server.address());
            entry.put("leaving", MappingReader.nameOf(server.leaving()));
            entry.put("ejected", server.ejected(now));
            entry.put("in-flight", server.ownInFlight());
            entry.put("sent", server.sent());
            entry.put("failed", server.failed());
        }
    }

    /**
     * Adds a change.
     *
     * @param node receives the values
     * @param change the change
     */
    private static void addChange(ObjectNode node, AuditRecord change) {
        node.put("time", change.time().toString());
        node.put("host", change.host());
        node.put("actor", change.actor());
        node.put("subject", change.subject());
        node.put("name", change.name());
        node.put("from", change.from());
        node.put("to", change.to());
        node.put("cause", change.cause());
        node.put("revision", change.revision());
    }
}
