package org.chivecourse.configuration.model;

/**
 * A backend server of a service.
 *
 * @param address the host name or IP number and the port, separated by a colon
 * @param dataCentre the name of the data centre it stands in
 * @param slots the number of requests it runs at the same time
 * @param connections the number of connections it accepts, summed over all gateways
 * @param mode what the configuration asks of it
 * @param identity the name under which it announced itself, or its address if it is configured
 */
public record BackendServer(
        String address, String dataCentre, int slots, int connections, ServerMode mode, String identity) {

    /** The number of slots where nothing else is said. */
    public static final int DEFAULT_SLOTS = 4;

    /** The number of connections where nothing else is said. */
    public static final int DEFAULT_CONNECTIONS = 200;

    /**
     * Creates a backend server that is known by its address.
     *
     * @param address the host name or IP number and the port, separated by a colon
     * @param dataCentre the name of the data centre it stands in
     * @param slots the number of requests it runs at the same time
     * @param connections the number of connections it accepts, summed over all gateways
     * @param mode what the configuration asks of it
     */
    public BackendServer(String address, String dataCentre, int slots, int connections, ServerMode mode) {
        this(address, dataCentre, slots, connections, mode, address);
    }

    /**
     * Creates an active backend server with the default slots and connections.
     *
     * @param address the host name or IP number and the port, separated by a colon
     * @return the backend server
     */
    public static BackendServer at(String address) {
        return new BackendServer(address, "", DEFAULT_SLOTS, DEFAULT_CONNECTIONS, ServerMode.ACTIVE);
    }

    /**
     * Returns this backend server in a data centre.
     *
     * @param newDataCentre the name of the data centre
     * @return the changed backend server
     */
    public BackendServer in(String newDataCentre) {
        return new BackendServer(address, newDataCentre, slots, connections, mode, identity);
    }

    /**
     * Returns this backend server with a number of slots.
     *
     * @param newSlots the number of requests it runs at the same time
     * @return the changed backend server
     */
    public BackendServer slots(int newSlots) {
        return new BackendServer(address, dataCentre, newSlots, connections, mode, identity);
    }

    /**
     * Returns this backend server with a number of connections.
     *
     * @param newConnections the number of connections it accepts, summed over all gateways
     * @return the changed backend server
     */
    public BackendServer connections(int newConnections) {
        return new BackendServer(address, dataCentre, slots, newConnections, mode, identity);
    }

    /**
     * Returns whether it announced itself under a name of its own.
     *
     * @return {@code true} if its identity is not its address
     */
    public boolean announced() {
        return !identity.equals(address);
    }

    /**
     * Returns this backend server as leaving.
     *
     * @return the changed backend server
     */
    public BackendServer leaving() {
        return new BackendServer(address, dataCentre, slots, connections, ServerMode.LEAVING, identity);
    }
}
