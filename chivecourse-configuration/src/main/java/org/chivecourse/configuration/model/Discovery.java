package org.chivecourse.configuration.model;

/**
 * How the backend servers of a service become known beyond the configured ones.
 *
 * @param announced whether backend servers announce themselves
 * @param healthPath the path of their health endpoint
 * @param connections the number of connections that each accepts, summed over all gateways
 */
public record Discovery(boolean announced, String healthPath, int connections) {

    /** The rule of a service whose backend servers are all configured. */
    public static final Discovery NONE = new Discovery(false, "/health", BackendServer.DEFAULT_CONNECTIONS);

    /** The rule of a service whose backend servers announce themselves, where nothing else is said. */
    public static final Discovery DEFAULT = new Discovery(true, "/health", BackendServer.DEFAULT_CONNECTIONS);
}
