package org.chivecourse.configuration.model;

/**
 * Describes how backend servers that the configuration of a service does not list are discovered.
 *
 * @param announced whether backend servers announce themselves
 * @param healthPath the path of the health endpoint of announced backend servers
 * @param connections the number of connections that each of them accepts, summed over all gateways
 */
public record Discovery(boolean announced, String healthPath, int connections) {

    /** The discovery of a service whose backend servers are all configured. */
    public static final Discovery NONE = new Discovery(false, "/health", BackendServer.DEFAULT_CONNECTIONS);

    /** The discovery of a service whose backend servers announce themselves, with default values. */
    public static final Discovery DEFAULT = new Discovery(true, "/health", BackendServer.DEFAULT_CONNECTIONS);
}
