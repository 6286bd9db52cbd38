package org.chivecourse.configuration.model;

/**
 * A backend server of a service.
 *
 * @param address the host name or IP address and the port, separated by a colon
 * @param dataCentre the name of the data centre in which it runs
 * @param slots the number of requests that it processes concurrently
 * @param connections the number of connections that it accepts, summed over all gateways
 * @param mode the mode that the configuration sets
 * @param identity the name under which it announced itself, or its address if it is configured
 */
public record BackendServer(
        String address, String dataCentre, int slots, int connections, ServerMode mode, String identity) {

    /** The number of slots of a backend server whose configuration does not state it. */
    public static final int DEFAULT_SLOTS = 4;

    /** The number of connections of a backend server whose configuration does not state it. */
    public static final int DEFAULT_CONNECTIONS = 200;

    /**
     * Creates a configured backend server, whose identity is its address.
     *
     * @param address the host name or IP address and the port, separated by a colon
     * @param dataCentre the name of the data centre in which it runs
     * @param slots the number of requests that it processes concurrently
     * @param connections the number of connections that it accepts, summed over all gateways
     * @param mode the mode that the configuration sets
     */
    public BackendServer(String address, String dataCentre, int slots, int connections, ServerMode mode) {
        this(address, dataCentre, slots, connections, mode, address);
    }

    /**
     * Creates an active backend server with the default numbers of slots and connections and without a data centre,
     * which has to be set before the configuration is printed.
     *
     * @param address the host name or IP address and the port, separated by a colon
     * @return the backend server
     */
    public static BackendServer at(String address) {
        return new BackendServer(address, "", DEFAULT_SLOTS, DEFAULT_CONNECTIONS, ServerMode.ACTIVE);
    }

    /**
     * Returns a copy of this backend server in another data centre.
     *
     * @param newDataCentre the name of the data centre
     * @return the changed backend server
     */
    public BackendServer in(String newDataCentre) {
        return new BackendServer(address, newDataCentre, slots, connections, mode, identity);
    }

    /**
     * Returns a copy of this backend server with another number of slots.
     *
     * @param newSlots the number of requests that it processes concurrently
     * @return the changed backend server
     */
    public BackendServer slots(int newSlots) {
        return new BackendServer(address, dataCentre, newSlots, connections, mode, identity);
    }

    /**
     * Returns a copy of this backend server with another number of connections.
     *
     * @param newConnections the number of connections that it accepts, summed over all gateways
     * @return the changed backend server
     */
    public BackendServer connections(int newConnections) {
        return new BackendServer(address, dataCentre, slots, newConnections, mode, identity);
    }

    /** Returns whether the backend server announced itself under a name that is not its address. */
    public boolean announced() {
        return !identity.equals(address);
    }

    /** Returns a copy of this backend server in the mode {@link ServerMode#LEAVING}. */
    public BackendServer leaving() {
        return new BackendServer(address, dataCentre, slots, connections, ServerMode.LEAVING, identity);
    }
}
