package org.chivecourse.coordination.call;

import java.util.Optional;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.state.call.CallTerms;

/** Derives the terms of calls from the configuration and the request. */
final class CallTermsFactory {

    /** Not instantiable. */
    private CallTermsFactory() {}

    /**
     * Returns the terms of a request whose service is found by path prefix. Only the outermost gateway of a chain of
     * calls retries or hedges, so that retries do not multiply along the chain.
     */
    static CallTerms create(Service service, Arrival arrival, long now) {
        Optional<Route> route = service.routeFor(arrival.method(), arrival.path());
        boolean idempotent = route.map(known -> known.idempotency().covers(arrival.method()))
                .orElse(arrival.method().idempotent());
        boolean outermost = arrival.depth() == 0;
        return new CallTerms(
                service.name(),
                arrival.method(),
                arrival.path(),
                idempotent,
                maximumAttempts(arrival, route.map(Route::attempts).orElse(1)),
                outermost && route.map(Route::hedged).orElse(false),
                arrival.replayable(),
                arrival.key(),
                arrival.fingerprint(),
                now,
                now + allowedNanoseconds(service, route, arrival),
                "",
                service.priority().ordinal(),
                allowedNanoseconds(service, route, arrival),
                arrival.forwardedAttempts() > 0);
    }

    /**
     * Returns the terms of a request with a host-name route. Only the outermost gateway of a chain of calls retries or
     * hedges, so that retries do not multiply along the chain.
     *
     * @param elapsedNanoseconds the estimated time since the caller first sent the request
     */
    static CallTerms create(CallerRoute route, Service service, Arrival arrival, long elapsedNanoseconds, long now) {
        boolean idempotent = route.idempotency().covers(arrival.method());
        long configured = route.timeout().toNanos();
        long requested = arrival.remainingNanoseconds();
        return new CallTerms(
                service.name(),
                arrival.method(),
                arrival.path(),
                idempotent,
                maximumAttempts(arrival, route.attempts()),
                idempotent && maximumAttempts(arrival, route.attempts()) > 1,
                arrival.replayable(),
                "",
                arrival.fingerprint(),
                now - elapsedNanoseconds,
                now + (requested > 0 ? Math.min(configured, requested) : configured),
                route.name(),
                route.rank(),
                route.targetLatency().toNanos(),
                arrival.forwardedAttempts() > 0);
    }

    /**
     * Returns the maximum number of attempts of a call: those of its route, those that the gateway which forwarded it
     * left over, or one within a chain of calls.
     *
     * @param configured the number of attempts of the route
     */
    private static int maximumAttempts(Arrival arrival, int configured) {
        if (arrival.forwardedAttempts() > 0) {
            return Math.min(configured, arrival.forwardedAttempts());
        }
        return arrival.depth() == 0 ? configured : 1;
    }

    /**
     * Returns the time allowed for a request in nanoseconds: the deadline of its route, or else of its service, or the
     * caller's remaining time if that is shorter.
     *
     * @param route the route, if one covers the request
     */
    private static long allowedNanoseconds(Service service, Optional<Route> route, Arrival arrival) {
        long configured = route.filter(known -> !known.deadline().isZero())
                .map(Route::deadline)
                .orElse(service.limits().deadline())
                .toNanos();
        long requested = arrival.remainingNanoseconds();
        return requested > 0 ? Math.min(configured, requested) : configured;
    }
}
