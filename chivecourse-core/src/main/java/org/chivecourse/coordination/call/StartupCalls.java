package org.chivecourse.coordination.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.coordination.event.Event;

/**
 * The requests that arrive at a gateway which has just started and still waits for its first configuration. Their
 * callers would lose an attempt if they were refused, and could not be served sooner elsewhere when all gateways have
 * lost power together.
 */
public final class StartupCalls {

    /** The time after the start for which requests are held, in nanoseconds. */
    private static final long STARTUP_NANOSECONDS = 2_000_000_000L;

    /** The longest time for which a request is held, in nanoseconds. */
    private static final long MAXIMUM_HOLD_NANOSECONDS = 600_000_000L;

    /** The part of the time that a caller grants for which its request is held at most: a third. */
    private static final int GRANTED_TIME_DIVISOR = 3;

    /** The maximum number of requests that are held. */
    private static final int MAXIMUM_CALLS = 200;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The requests that are held, in the order of their arrival. */
    private final List<HeldCall> held = new ArrayList<>();

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether an event has occurred. */
    private boolean started;

    /**
     * Creates an instance without requests.
     *
     * @param services the services of the configuration in force
     */
    public StartupCalls(ServiceRegistry services) {
        this.services = services;
    }

    /**
     * Records the start of the gateway.
     *
     * @param now the current time in nanoseconds
     */
    public void recordStart(long now) {
        if (!started) {
            started = true;
            startedAt = now;
        }
    }

    /**
     * Holds a request that arrived before the first configuration.
     *
     * @param event the arrival
     * @param now the current time in nanoseconds
     * @return {@code false} if it has to be refused, since the configuration is overdue or too many requests are held
     */
    public boolean hold(Event.CallArrived event, long now) {
        if (now - startedAt >= STARTUP_NANOSECONDS || held.size() >= MAXIMUM_CALLS) {
            return false;
        }
        long granted = event.arrival().remainingNanoseconds();
        long hold = granted == 0
                ? MAXIMUM_HOLD_NANOSECONDS
                : Math.min(MAXIMUM_HOLD_NANOSECONDS, granted / GRANTED_TIME_DIVISOR);
        held.add(new HeldCall(event, now, now + hold));
        return true;
    }

    /**
     * Removes the request of a caller that disconnected.
     *
     * @param call the identifier of the request's call
     */
    public void remove(long call) {
        held.removeIf(request -> request.event().call() == call);
    }

    /**
     * Removes and returns the requests that cannot be held any longer.
     *
     * @param now the current time in nanoseconds
     * @return their arrivals
     */
    public List<Event.CallArrived> pollExpired(long now) {
        List<Event.CallArrived> expired = new ArrayList<>();
        for (Iterator<HeldCall> iterator = held.iterator(); iterator.hasNext(); ) {
            HeldCall request = iterator.next();
            if (now - request.holdUntil() >= 0) {
                iterator.remove();
                expired.add(request.event());
            }
        }
        return expired;
    }

    /**
     * Removes and returns all requests, once there is a configuration. More urgent ones come first, and among those of
     * the same urgency the ones whose callers still wait longest, since these have most likely just begun to try.
     *
     * @param now the current time in nanoseconds
     * @return their arrivals, with the time that their callers still wait
     */
    public List<Event.CallArrived> pollAll(long now) {
        if (held.isEmpty()) {
            return List.of();
        }
        List<HeldCall> ordered = new ArrayList<>(held);
        held.clear();
        ordered.sort(Comparator.comparingInt(this::rank)
                .thenComparing(Comparator.comparingLong(HeldCall::granted).reversed()));
        return ordered.stream().map(request -> request.delayedEvent(now)).toList();
    }

    /** Returns the rank of a request by its route, where lower ranks are more urgent. */
    private int rank(HeldCall request) {
        CallerRoute route = services.route(request.event().arrival());
        return route == null ? Integer.MAX_VALUE : route.rank();
    }

    /**
     * A request that is held.
     *
     * @param event the arrival
     * @param arrivedAt the time of the arrival in nanoseconds
     * @param holdUntil the time in nanoseconds until which it is held
     */
    private record HeldCall(Event.CallArrived event, long arrivedAt, long holdUntil) {

        /** Returns the time that the caller granted, in nanoseconds, zero if it set no timeout. */
        private long granted() {
            return event.arrival().remainingNanoseconds();
        }

        /** Returns the arrival with the time that the caller still waits. */
        private Event.CallArrived delayedEvent(long now) {
            return new Event.CallArrived(event.call(), event.arrival().delayed(now - arrivedAt));
        }
    }
}
