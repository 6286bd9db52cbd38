package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.RequestLimit;

/** A backend server of a simulation, which counts the requests that it gets beyond its request limit. */
final class SimulatedBackendServer {

    /** The length of the window in which requests are counted, as the platform states. */
    private static final long WINDOW_MILLISECONDS = 4000;

    /** The factor by which a backend server may get more than its limit, as the platform states. */
    private static final double ALLOWED_FACTOR = 1.5;

    /** The number of requests that a backend server may get beyond that, as the platform states. */
    private static final int ALLOWED_EXTRA = 5;

    private static final long SECOND_MILLISECONDS = 1000;

    final List<Request> received = new ArrayList<>();

    final Map<String, Long> toldAt = new HashMap<>();

    final Set<HostNumber> open = new HashSet<>();

    /** The times at which gateways first received an answer that says that this server leaves. */
    final Map<String, Long> toldLeavingAt = new HashMap<>();

    /** Whether answers say that this server leaves. */
    boolean leaving;

    /** The number of requests that came too late after such an answer. */
    int requestsAfterLeaving;

    /** The rests that this server asked gateways for. */
    final List<Rest> rests = new ArrayList<>();

    /** The time for which this server asks gateways for rest while it turns requests away, zero if it takes them. */
    long restMilliseconds;

    RequestLimit limit = RequestLimit.NONE;

    long limitedSince;

    /** The time from which this server is cold. */
    long coldFrom = Long.MIN_VALUE / 2;

    /** The time until which this server is cold. */
    long coldUntil = Long.MIN_VALUE / 2;

    /** Whether this server cannot be reached. */
    boolean down;

    /** The largest number of requests within a second that this server got while it was cold. */
    int largestWhileCold;

    int running;

    int probes;

    /** The largest number of requests beyond those allowed in a window, negative if it was never reached. */
    double largestExcess = Double.NEGATIVE_INFINITY;

    LoadReport report() {
        return new LoadReport(running, 4, 100);
    }

    void receive(Request request) {
        received.add(request);
        countWhileCold(request.at);
        if (limit.unlimited() || !request.counted) {
            return;
        }
        int count = 0;
        for (int index = received.size() - 1; index >= 0; index--) {
            Request other = received.get(index);
            if (other.at <= request.at - WINDOW_MILLISECONDS) {
                break;
            }
            count += other.counted ? 1 : 0;
        }
        double allowed = ALLOWED_FACTOR * limit.requestsPerSecond() * WINDOW_MILLISECONDS / 1000 + ALLOWED_EXTRA;
        largestExcess = Math.max(largestExcess, count - allowed);
    }

    /** Returns the time for which this server says that it stays cold. */
    long warmUpNanoseconds(long at) {
        return Math.max(0, coldUntil - at) * FleetNetwork.NANOSECONDS_PER_MILLISECOND;
    }

    private void countWhileCold(long at) {
        long since = Math.max(coldFrom, at - SECOND_MILLISECONDS + 1);
        int count = 0;
        for (int index = received.size() - 1; index >= 0 && received.get(index).at >= since; index--) {
            count++;
        }
        largestWhileCold = at < coldUntil ? Math.max(largestWhileCold, count) : largestWhileCold;
    }

    /** Records that a gateway receives an answer, which may say that this server leaves. */
    void recordStatement(String host, long at) {
        if (leaving) {
            toldLeavingAt.putIfAbsent(host, at);
        }
    }

    /** Turns a request away and asks its gateway for rest. */
    Event.AnswerHead turnAway(HostNumber attempt, long at) {
        rests.add(new Rest(attempt, at, restMilliseconds));
        long restNanoseconds = restMilliseconds * FleetNetwork.NANOSECONDS_PER_MILLISECOND;
        return new Event.AnswerHead(503, true, false, report(), false, limit, restNanoseconds);
    }

    /** Counts a request or probe of a gateway in the rests that it was asked for. */
    void countInRests(String host, long at) {
        for (Rest rest : rests) {
            if (rest.isOf(host) && at >= rest.from && at < rest.until) {
                rest.requests++;
            }
        }
    }

    /** Forgets a rest that was asked for on a connection which the gateway closes before the answer arrives. */
    void forgetUnreadRest(HostNumber attempt, long at) {
        rests.removeIf(rest -> rest.attempt.equals(attempt) && rest.askedAt == at);
    }

    /** A rest that a backend server asked a gateway for. */
    static final class Rest {

        /** The time after which a gateway has to heed it, as the platform states. */
        private static final long NOTICE_MILLISECONDS = 500;

        private final HostNumber attempt;

        private final long askedAt;

        private final long from;

        private final long until;

        int requests;

        boolean isOf(String gateway) {
            return attempt.host().equals(gateway);
        }

        Rest(HostNumber attempt, long askedAt, long milliseconds) {
            this.attempt = attempt;
            this.askedAt = askedAt;
            from = askedAt + NOTICE_MILLISECONDS;
            until = askedAt + milliseconds;
        }
    }

    /** A request that a backend server got. */
    record Request(long at, boolean counted) {}
}
