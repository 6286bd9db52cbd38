package org.chivecourse.protocol.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.configuration.document.Document;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.document.MappingReader;

/**
 * The hosts on which the platform runs gateways.
 *
 * @param hosts the hosts in the order of the platform's list
 */
public record HostList(List<Host> hosts) {

    /** Writes trees as JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Creates a host list with a copy of the hosts. */
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * Parses a host list. A host without a state is live.
     *
     * @param source the address that the text came from, for error messages
     * @param text the JSON text
     * @return the host list
     * @throws DocumentException if the text is malformed or has an unknown key
     */
    public static HostList parse(String source, String text) throws DocumentException {
        MappingReader root = Document.parse(source, text).rootReader();
        List<Host> hosts = new ArrayList<>();
        for (MappingReader host : root.mappings("hosts")) {
            hosts.add(new Host(
                    host.text("name"),
                    host.text("address"),
                    host.text("data-centre"),
                    host.enumConstant("state", HostState.class, HostState.LIVE)));
            host.rejectUnknownKeys();
        }
        root.rejectUnknownKeys();
        return new HostList(hosts);
    }

    /** Returns the host list as JSON. */
    public String toJson() {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode array = root.putArray("hosts");
        for (Host host : hosts) {
            ObjectNode node = array.addObject();
            node.put("name", host.name());
            node.put("address", host.address());
            node.put("data-centre", host.dataCentre());
            node.put("state", ConstantNames.of(host.state()));
        }
        try {
            return MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot convert the host list to JSON", exception);
        }
    }

    /**
     * A host that runs a gateway.
     *
     * @param name the name of the host
     * @param address the address at which its gateway listens for other gateways
     * @param dataCentre the name of its data centre
     * @param state whether it keeps running or is about to be stopped
     */
    public record Host(String name, String address, String dataCentre, HostState state) {}

    /** The state of a host according to the platform. */
    public enum HostState {
        /** The host is running. */
        LIVE,

        /** The host is about to be stopped. */
        LEAVING
    }
}
