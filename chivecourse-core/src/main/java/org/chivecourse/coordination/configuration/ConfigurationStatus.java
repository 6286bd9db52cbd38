package org.chivecourse.coordination.configuration;

import org.chivecourse.coordination.decision.Reason;

/** What a gateway knows of the configuration by which it handles a request. */
public enum ConfigurationStatus {
    /** No configuration is in force yet, or newer ones are still being read after the start. */
    NONE(Reason.NO_CONFIGURATION),

    /** No newer configuration is known of. */
    CURRENT(Reason.NO_SERVICE),

    /** Other gateways have newer published items, which this one is about to receive. */
    OUTDATED(Reason.OUTDATED_CONFIGURATION);

    /** Why a request without a matching route is refused. */
    private final Reason unknownRoute;

    /**
     * Creates a status.
     *
     * @param unknownRoute why a request without a matching route is refused
     */
    ConfigurationStatus(Reason unknownRoute) {
        this.unknownRoute = unknownRoute;
    }

    /** Returns why a request without a matching route is refused. */
    public Reason unknownRoute() {
        return unknownRoute;
    }
}
