package org.chivecourse.command.bench;

import java.util.function.UnaryOperator;
import org.chivecourse.configuration.model.MeasuringBudget;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;

/** A way of working that is measured. */
public enum Variant {
    /** Callers connect to backend servers themselves, each chosen at random. */
    DIRECT("random", false, false),

    /** Gateways choose at random. */
    RANDOM("random", false, false),

    /** Gateways choose in turn. */
    ROUND_ROBIN("round-robin", false, false),

    /** Gateways choose the backend server with the fewest of their own requests. */
    LEAST_IN_FLIGHT("least-in-flight", false, false),

    /** Gateways choose the better of two backend servers. */
    POWER_OF_TWO("power-of-two", false, false),

    /** Gateways choose the least estimated time, without hedging and without probes. */
    ESTIMATE("least-estimate", false, false),

    /** Gateways choose the least estimated time with hedging, without probes. */
    ESTIMATE_HEDGED("least-estimate", true, false),

    /** Gateways choose the least estimated time with hedging and probes. */
    ESTIMATE_PROBED("least-estimate", true, true);

    /** The name of the way to choose a backend server. */
    private final String choicePolicy;

    /** Whether idempotent requests are hedged. */
    private final boolean hedged;

    /** Whether backend servers are probed. */
    private final boolean probed;

    /**
     * Creates a variant.
     *
     * @param choicePolicy the name of the way to choose a backend server
     * @param hedged whether idempotent requests are hedged
     * @param probed whether backend servers are probed
     */
    Variant(String choicePolicy, boolean hedged, boolean probed) {
        this.choicePolicy = choicePolicy;
        this.hedged = hedged;
        this.probed = probed;
    }

    /**
     * Returns the name of the way to choose a backend server.
     *
     * @return the name
     */
    public String choicePolicy() {
        return choicePolicy;
    }

    /**
     * Returns the change of services that the variant needs.
     *
     * @return the change
     */
    public UnaryOperator<Service> serviceCustomizer() {
        return service -> {
            Service changed = probed ? service : service.measuring(MeasuringBudget.NONE);
            return hedged
                    ? changed
                    : changed.routes(changed.routes().stream()
                            .map(Variant::withoutHedging)
                            .toList());
        };
    }

    /**
     * Returns a route without hedging.
     *
     * @param route the route
     * @return the changed route
     */
    private static Route withoutHedging(Route route) {
        return new Route(
                route.methods(), route.pathPrefix(), route.idempotency(), route.attempts(), false, route.deadline());
    }
}
