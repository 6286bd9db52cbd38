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
 * The platform's list of the hosts that gateways run on.
 *
 * @param hosts the hosts
 */
public record HostList(List<Host> hosts) {

    /** The mapper that prints trees. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Creates a host list that is copied.
     */
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * Reads a printed host list.
     *
     * @param source the address it came from
     * @param text the JSON text
     * @return the host list
     * @throws DocumentException if the text is not a host list
     */
    public static HostList parse(String source, String text) throws DocumentException {
        MappingReader root = Document.parse(source, text).root();
        List<Host> hosts = new ArrayList<>();
        for (MappingReader host : root.mappings("hosts")) {
            hosts.add(new Host(
                    host.text("name"),
                    host.text("address"),
                    host.text("data-centre"),
                    host.choice("state", HostState.class, HostState.LIVE)));
            host.finish();
        }
        root.finish();
        return new HostList(hosts);
    }

    /**
     * Prints the host list.
     *
     * @return the JSON text
     */
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
            throw new IllegalStateException("a tree of texts could not be printed", exception);
        }
    }

    /**
     * A host.
     *
     * @param name the name
     * @param address the address at which its gateway listens for other gateways
     * @param dataCentre the name of the data centre it stands in
     * @param state what the platform says of it
     */
    public record Host(String name, String address, String dataCentre, HostState state) {}

    /** What the platform says of a host. */
    public enum HostState {
        /** The host runs. */
        LIVE,

        /** The host is about to be stopped. */
        LEAVING
    }
}
