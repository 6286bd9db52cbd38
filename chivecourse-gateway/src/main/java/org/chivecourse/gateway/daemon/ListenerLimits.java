package org.chivecourse.gateway.daemon;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.transport.connection.ClosedConnectionLog;
import org.chivecourse.transport.connection.ConnectionLimit;
import org.chivecourse.transport.connection.ConnectionShares;
import org.chivecourse.transport.connection.ConnectionShares.Listener;
import org.chivecourse.transport.connection.ProcessDescriptors;

/**
 * The limits on the connections of all listeners of a gateway.
 *
 * @param callers the limit on callers' connections
 * @param forwarding the limit on the connections of gateways that forward requests
 * @param operators the limit on the connections of operators and of the platform's balancer
 * @param peers the limit on the connections of gateways that ask for configurations and published items
 */
record ListenerLimits(
        ConnectionLimit callers, ConnectionLimit forwarding, ConnectionLimit operators, ConnectionLimit peers) {

    /**
     * Returns the limits of a process.
     *
     * @param settings the settings of the gateway
     * @param processBytes the memory that the process was given, in bytes
     * @param log records each connection that is closed
     * @param metrics the registry of all metrics
     * @return the limits
     */
    static ListenerLimits of(
            GatewaySettings settings, long processBytes, ClosedConnectionLog log, MetricRegistry metrics) {
        ConnectionShares shares = ConnectionShares.ofProcess(processBytes, sockets(settings));
        boolean tls = !settings.callers().certificate().isEmpty();
        int stated = settings.http().maximumConnections();
        int callers = stated > 0 ? stated : shares.maximum(Listener.CALLERS, tls);
        return new ListenerLimits(
                new ConnectionLimit("callers", callers, log, metrics),
                new ConnectionLimit("forwarding", shares.maximum(Listener.FORWARDING, false), log, metrics),
                new ConnectionLimit("operators", shares.maximum(Listener.OPERATORS, false), log, metrics),
                new ConnectionLimit("peers", shares.maximum(Listener.PEERS, false), log, metrics));
    }

    /** Returns the largest number of sockets of the process. */
    private static long sockets(GatewaySettings settings) {
        int stated = settings.http().maximumSockets();
        return stated > 0 ? stated : ProcessDescriptors.maximum();
    }

    /**
     * Adds the open connections of each listener, and how many it may have, to the status.
     *
     * @param node receives a member for each listener
     */
    void addStatus(ObjectNode node) {
        for (ConnectionLimit limit : List.of(callers, forwarding, operators, peers)) {
            node.putObject(limit.listener())
                    .put("open", limit.openConnections())
                    .put("largest", limit.maximum())
                    .put("closed", limit.closedConnections());
        }
    }
}
