package org.chivecourse.state.server;

import java.util.HashMap;
import java.util.Map;

/**
 * The request limit of a backend server, and a token bucket that the gateways which may send to it share.
 *
 * <p>Each of these gateways keeps its own copy of the bucket. It takes a token for each request that it sends and for
 * each one that another gateway reports, so that the bucket goes into debt if several gateways take the same token. Any
 * gateway may use the whole limit while the others send nothing.
 *
 * <p>Times are in nanoseconds of the host's monotonic clock.
 */
public final class RequestAllowance {

    /** A time that does not pass within the life of any call, in nanoseconds. */
    public static final long NEVER = Long.MAX_VALUE / 4;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

    /** The time after which a limit that the backend server has not stated again no longer holds. */
    private static final long LIMIT_LIFETIME_NANOSECONDS = 30_000_000_000L;

    /** The time for which the end of a limit is reported to other gateways. */
    private static final long END_REPORT_NANOSECONDS = 10_000_000_000L;

    /**
     * The lowest rate at which requests are sent, in requests a second. Without any, the end of a limit would not
     * become known.
     */
    private static final double MINIMUM_REQUESTS_PER_SECOND = 0.2;

    /** The time in which a full bucket refills, if it holds more than one token. */
    private static final double BURST_SECONDS = 0.25;

    /**
     * The time by which the gateways spread their sends for each of them after the first, so that they do not all take
     * a token that becomes available. It covers the time until the others learn that the token was taken.
     */
    private static final double SPREAD_SECONDS_PER_SENDER = 0.05;

    /** The time over which debt is kept, in seconds. */
    private static final double MAXIMUM_DEBT_SECONDS = 4;

    /** The limit that the backend server stated last. */
    private RequestLimit limit = RequestLimit.NONE;

    /** The time of that statement. */
    private long statedAt = Long.MIN_VALUE / 2;

    /** The time at which the stated limit last changed. */
    private long changedAt = Long.MIN_VALUE / 2;

    /** The number of gateways that may send to the backend server if this one is among them, zero otherwise. */
    private int senders;

    /** The number of tokens at {@link #filledAt}, negative in debt. */
    private double tokens;

    /** The time at which the number of tokens was last updated. */
    private long filledAt;

    /** The number of tokens beyond one that must be in the bucket before this gateway takes the next one. */
    private double reserve;

    /** The number of requests that this gateway has sent since it first learnt of a limit. */
    private long dispatched;

    /** The requests that other gateways reported, by the name of the gateway. */
    private final Map<String, ReportedDispatches> dispatchedByOthers = new HashMap<>();

    /** Whether something has changed that other gateways were not told. */
    private boolean unreported;

    /**
     * Records what the backend server stated. A statement that is older than the last one is ignored.
     *
     * @param stated the limit
     * @param at the time of the statement
     * @param now the current time
     * @return the limit that was known before, {@code null} if it has not changed
     */
    public RequestLimit recordStatement(RequestLimit stated, long at, long now) {
        if (at - statedAt < 0) {
            return null;
        }
        boolean limitedBefore = limited(now);
        RequestLimit previous = limitedBefore ? limit : RequestLimit.NONE;
        fill(now);
        statedAt = at;
        limit = stated;
        if (previous.equals(stated)) {
            return null;
        }
        tokens = limitedBefore ? Math.min(tokens, capacity()) : 0;
        changedAt = now;
        unreported = true;
        return previous;
    }

    /**
     * Sets how many gateways may send to the backend server.
     *
     * @param count the number, this gateway included, zero if this gateway is not among them
     */
    public void assignSenders(int count) {
        senders = count;
    }

    /**
     * Returns whether the backend server has a limit.
     *
     * @param now the current time
     * @return {@code true} if it stated one recently
     */
    public boolean limited(long now) {
        return !limit.unlimited() && now - statedAt < LIMIT_LIFETIME_NANOSECONDS;
    }

    /**
     * Returns whether this gateway may send a request now.
     *
     * @param now the current time
     * @return {@code true} if the backend server has no limit, or if a token is available
     */
    public boolean permits(long now) {
        if (!limited(now)) {
            return true;
        }
        fill(now);
        return senders > 0 && tokens >= 1 + reserve;
    }

    /**
     * Returns the time until this gateway may send a request if no other one does before.
     *
     * @param now the current time
     * @return the time in nanoseconds, {@link #NEVER} if this gateway is not among those that may send
     */
    public long nanosecondsUntilPermit(long now) {
        if (senders == 0) {
            return NEVER;
        }
        fill(now);
        return (long) Math.max(0, (1 + reserve - tokens) / requestsPerNanosecond());
    }

    /** Returns the rate at which all gateways together may send requests, per nanosecond. */
    public double requestsPerNanosecond() {
        return requestsPerSecond() / NANOSECONDS_PER_SECOND;
    }

    /** Returns the rate at which this gateway may send if all others that may send do so, per nanosecond. */
    public double ownRequestsPerNanosecond() {
        return senders == 0 ? 0 : requestsPerNanosecond() / senders;
    }

    /**
     * Takes a token for a request of this gateway.
     *
     * @param now the current time
     * @param spread a random number from zero to one, by which the next token of this gateway is delayed
     */
    public void take(long now, double spread) {
        charge(1, now, spread);
    }

    /** Returns the token of a request that was not sent. */
    public void giveBack() {
        tokens = Math.min(capacity(), tokens + 1);
    }

    /** Counts a request that this gateway sends, to be reported to other gateways. */
    public void recordDispatch() {
        dispatched++;
        unreported = true;
    }

    /**
     * Takes tokens for the requests that another gateway has sent since its last report.
     *
     * @param gateway the name of the gateway
     * @param incarnation the incarnation of the gateway
     * @param count the number of requests that it has sent since it first learnt of a limit
     * @param now the current time
     * @param spread a random number from zero to one, by which the next token of this gateway is delayed
     */
    public void recordDispatchedByOther(String gateway, long incarnation, long count, long now, double spread) {
        ReportedDispatches last = dispatchedByOthers.get(gateway);
        boolean known = last != null && last.incarnation() == incarnation;
        if (known && count <= last.count()) {
            return;
        }
        dispatchedByOthers.put(gateway, new ReportedDispatches(incarnation, count));
        if (known) {
            charge(count - last.count(), now, spread);
        }
    }

    /**
     * Takes tokens, down to a bounded debt.
     *
     * @param count the number of tokens
     * @param now the current time
     * @param spread a random number from zero to one
     */
    private void charge(long count, long now, double spread) {
        fill(now);
        tokens = Math.max(-MAXIMUM_DEBT_SECONDS * requestsPerSecond() - 1, tokens - count);
        reserve = spread * maximumReserve();
    }

    /**
     * Adds the tokens that have become available.
     *
     * @param now the current time
     */
    private void fill(long now) {
        if (!limit.unlimited()) {
            tokens = Math.min(capacity(), tokens + (now - filledAt) / NANOSECONDS_PER_SECOND * requestsPerSecond());
        }
        filledAt = now;
    }

    /** Returns the rate at which tokens become available, in tokens a second. */
    private double requestsPerSecond() {
        return Math.max(MINIMUM_REQUESTS_PER_SECOND, limit.requestsPerSecond());
    }

    /** Returns the maximum number of tokens. */
    private double capacity() {
        return Math.max(1, BURST_SECONDS * requestsPerSecond()) + maximumReserve();
    }

    /** Returns the maximum number of tokens beyond one that must be in the bucket before one is taken. */
    private double maximumReserve() {
        return Math.min(1, SPREAD_SECONDS_PER_SENDER * Math.max(0, senders - 1) * requestsPerSecond());
    }

    /**
     * Returns whether other gateways have to be told of the limit or of its end.
     *
     * @param now the current time
     * @return {@code true} while the backend server has a limit, and for a while after that
     */
    public boolean reportable(long now) {
        return limited(now) || limit.unlimited() && now - changedAt < END_REPORT_NANOSECONDS;
    }

    /** Returns whether something has changed since the last call, so that other gateways have to be told. */
    public boolean pollUnreported() {
        boolean changed = unreported;
        unreported = false;
        return changed;
    }

    /** Returns whether something has changed that other gateways were not told. */
    public boolean unreported() {
        return unreported;
    }

    /** Returns the limit that the backend server stated last, which may no longer hold. */
    public RequestLimit limit() {
        return limit;
    }

    /** Returns the time at which the backend server stated the limit. */
    public long statedAt() {
        return statedAt;
    }

    /** Returns the number of requests that this gateway has sent since it first learnt of a limit. */
    public long dispatched() {
        return dispatched;
    }

    /**
     * The requests that another gateway reported last.
     *
     * @param incarnation the incarnation of the gateway
     * @param count the number of requests
     */
    private record ReportedDispatches(long incarnation, long count) {}
}
