package org.chivecourse.command.bench;

import java.util.function.UnaryOperator;
import org.chivecourse.configuration.model.MeasuringBudget;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;

/** Enumerates the configurations of a fleet that a benchmark compares. */
public enum Variant {
    /** Callers connect to randomly chosen backend servers without gateways. */
    DIRECT("random", false, false),

    /** Gateways choose backend servers at random. */
    RANDOM("random", false, false),

    /** Gateways choose backend servers in turn. */
    ROUND_ROBIN("round-robin", false, false),

    /** Gateways choose the backend server with the fewest requests of their own in flight. */
    LEAST_IN_FLIGHT("least-in-flight", false, false),

    /** Gateways choose, of two random backend servers, the one with fewer of their own requests in flight. */
    POWER_OF_TWO("power-of-two", false, false),

    /** Gateways choose the backend server with the lowest estimated response time, without hedging or probes. */
    ESTIMATE("least-estimate", false, false),

    /** Gateways choose the backend server with the lowest estimated response time, with hedging and without probes. */
    ESTIMATE_HEDGED("least-estimate", true, false),

    /** Gateways choose the backend server with the lowest estimated response time, with hedging and probes. */
    ESTIMATE_PROBED("least-estimate", true, true);

    /** The name of the policy that chooses backend servers. */
    private final String choicePolicy;

    /** Whether idempotent requests are hedged. */
    private final boolean hedged;

    /** Whether backend servers are probed. */
    private final boolean probed;

    /**
     * Creates a variant.
     *
     * @param choicePolicy the name of the policy that chooses backend servers
     * @param hedged whether idempotent requests are hedged
     * @param probed whether backend servers are probed
     */
    Variant(String choicePolicy, boolean hedged, boolean probed) {
        this.choicePolicy = choicePolicy;
        this.hedged = hedged;
        this.probed = probed;
    }

    /** Returns the name of the policy that chooses backend servers. */
    public String choicePolicy() {
        return choicePolicy;
    }

    /** Returns the change of a service's configuration that disables what the variant does not use. */
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
     * Returns a copy of a route without hedging.
     *
     * @param route the route
     */
    private static Route withoutHedging(Route route) {
        return new Route(
                route.methods(), route.pathPrefix(), route.idempotency(), route.attempts(), false, route.deadline());
    }
}
