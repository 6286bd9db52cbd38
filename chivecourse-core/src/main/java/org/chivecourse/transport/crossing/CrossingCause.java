package org.chivecourse.transport.crossing;

import java.util.Locale;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.state.fleet.FleetDigest;

/** Why bytes cross between two data centres. */
public enum CrossingCause {
    /** The first attempt of a call: the request and the answer. */
    REQUEST,

    /** A later attempt of a call, after one that failed or was refused. */
    RETRY,

    /** An attempt beside one that is slow to answer. */
    HEDGE,

    /** A call that is forwarded to another gateway. */
    FORWARDING,

    /** A probe or a health check of a backend server. */
    PROBE,

    /** What passes on a connection before its first request, such as a handshake. */
    CONNECTION,

    /** A digest that reports the state of its sender. */
    DIGEST,

    /** A digest with observations of backend servers. */
    RELAY,

    /** Configurations and other published items between gateways. */
    PUBLICATION;

    /** The purpose of an attempt beside one that is slow to answer. */
    private static final String HEDGE_PURPOSE = "hedge";

    /** Returns the cause of an attempt. */
    public static CrossingCause of(Decision.Send send) {
        if (send.forwarded()) {
            return FORWARDING;
        }
        if (HEDGE_PURPOSE.equals(send.basis().purpose())) {
            return HEDGE;
        }
        return send.number() > 1 ? RETRY : REQUEST;
    }

    /** Returns the cause of a digest. */
    public static CrossingCause of(FleetDigest digest) {
        if (digest.changes() != null) {
            return PUBLICATION;
        }
        return digest.observations().isEmpty() ? DIGEST : RELAY;
    }

    /** Returns the name under which operators see the cause. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
