package org.chivecourse.coordination.call;

import java.util.Optional;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.state.call.CallTerms;

/** Derives the terms of calls from the configuration and from what the caller asks. */
final class CallTermsFactory {

    /** Not to be constructed. */
    private CallTermsFactory() {}

    /**
     * Returns the terms of an arrival; only the outermost gateway of a chain of calls repeats requests, so that
     * repetitions do not multiply along the chain.
     *
     * @param service the service
     * @param arrival what is known of the request
     * @param now the time in nanoseconds
     * @return the terms
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
                outermost ? route.map(Route::attempts).orElse(1) : 1,
                outermost && route.map(Route::hedged).orElse(false),
                arrival.replayable(),
                arrival.key(),
                arrival.fingerprint(),
                now,
                now + allowedNanoseconds(service, route, arrival),
                "",
                service.priority().ordinal(),
                allowedNanoseconds(service, route, arrival));
    }

    /**
     * Returns the terms of an arrival whose route is found by host name.
     *
     * @param route the route
     * @param service the service that takes the request
     * @param arrival what is known of the request
     * @param now the time in nanoseconds
     * @return the terms
     */
    static CallTerms create(CallerRoute route, Service service, Arrival arrival, long now) {
        boolean idempotent = route.idempotency().covers(arrival.method());
        boolean outermost = arrival.depth() == 0;
        long configured = route.timeout().toNanos();
        long requested = arrival.remainingNanoseconds();
        return new CallTerms(
                service.name(),
                arrival.method(),
                arrival.path(),
                idempotent,
                outermost ? route.attempts() : 1,
                outermost && idempotent,
                arrival.replayable(),
                "",
                arrival.fingerprint(),
                now,
                now + (requested > 0 ? Math.min(configured, requested) : configured),
                route.name(),
                route.rank(),
                route.targetLatency().toNanos());
    }

    /**
     * Returns the time for a request: that of its route or service, or less if the caller asks so.
     *
     * @param service the service
     * @param route the route, if one covers the request
     * @param arrival what is known of the request
     * @return the time in nanoseconds
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
