package org.chivecourse.state.server;

import org.chivecourse.configuration.model.WarmUp;

/**
 * How long a backend server is cold, and when this host may send to it meanwhile.
 *
 * <p>The newest statement holds, by the time at which it was made. A backend server from which no host has heard for
 * some time counts as cold, and for the configured time after it is heard again unless it states something else. Where
 * the service configures a warm-up, only some hosts send to a cold backend server, each at a minimum interval.
 *
 * <p>Times are in nanoseconds of the host's monotonic clock.
 */
public final class ServerWarmUp {

    /** The time that does not pass. */
    public static final long NEVER = Long.MAX_VALUE / 2;

    /** A time before any other. */
    private static final long LONG_AGO = Long.MIN_VALUE / 4;

    /** The time without news after which a backend server counts as cold. */
    private static final long SILENCE_NANOSECONDS = 5_000_000_000L;

    /** The same if a host has failed to reach it since. */
    private static final long UNREACHABLE_NANOSECONDS = 1_000_000_000L;

    /** The difference in time up to which reports of other hosts may repeat a statement that is known. */
    private static final long REPETITION_NANOSECONDS = 250_000_000L;

    /** By how much a statement may be older than it seems, since ages are rounded. */
    private static final long ROUNDING_NANOSECONDS = 5_000_000L;

    /** The time for which a backend server counts as cold beyond the time that it stated. */
    private static final long MARGIN_NANOSECONDS = 50_000_000L;

    /** The source of what a backend server announces, for audit records. */
    private static final String ANNOUNCEMENT = "announcement";

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

    /** The warm-up of its service. */
    private WarmUp configured = WarmUp.NONE;

    /** Whether its service configures a warm-up. */
    private boolean bounded;

    /** The number of the latest announcement. */
    private long announcement = -1;

    /** The time of its newest own statement. */
    private long statedAt = LONG_AGO;

    /** The time for which it stayed cold by that statement. */
    private long statedRemaining;

    /** The time of the last own statement that changed something. */
    private long changedAt = LONG_AGO;

    /** The time at which this host last assumed that it is cold. */
    private long assumedAt = LONG_AGO;

    /** Whether it counts as cold until it is heard again. */
    private boolean awaitsContact;

    /** The time until which it is cold. */
    private long coldUntil = LONG_AGO;

    /** Whether any host heard from it, as far as this one knows; its announcement alone may be out of date. */
    private boolean known;

    /** The time at which any host last heard from it. */
    private long heardAt;

    /** The time at which a host last failed to reach it. */
    private long failedAt = LONG_AGO;

    /** What the present state follows from, for audit records. */
    private String cause = "start";

    /** The number of hosts that may send to it while it is cold, zero if this host is not among them. */
    private int senders;

    /** The time of the last request that this host sent to it. */
    private long lastSentAt = LONG_AGO;

    /** The time until which an attempt that was not sent holds the permit of this host. */
    private long reservedUntil = LONG_AGO;

    /** The number of requests that this host sent to it while it was cold. */
    private long sentWhileCold;

    /**
     * Creates the state of a backend server that is warm.
     *
     * @param now the current time
     */
    public ServerWarmUp(long now) {
        heardAt = now;
    }

    /** Applies the warm-up that its service configures. */
    public void configure(WarmUp warmUp) {
        configured = warmUp;
        bounded = warmUp.required();
    }

    /**
     * Applies an announcement. Announcements arrive late, so one that states no remaining time ends nothing.
     *
     * @param number the number of the announcement within its incarnation; one that is known is ignored
     * @param remaining the time for which it stays cold
     */
    public void recordAnnouncement(long number, long remaining, long now) {
        if (number == announcement) {
            return;
        }
        announcement = number;
        if (remaining > 0) {
            recordStatement(remaining, now, ANNOUNCEMENT);
        }
    }

    /**
     * Applies what the backend server stated to this host, unless something newer is known.
     *
     * @param remaining the time for which it stays cold, zero if it is warm
     * @param at the time of the statement
     * @param source where this host learnt of it
     * @return {@code true} if other hosts have to be told
     */
    public boolean recordStatement(long remaining, long at, String source) {
        if (at - statedAt < 0 || at - assumedAt < 0) {
            return false;
        }
        boolean coldBefore = cold(at);
        long until = remaining == 0 ? at : at + remaining + MARGIN_NANOSECONDS;
        long statedUntil = statedAt + statedRemaining;
        boolean repeated = remaining == 0 || Math.abs(until - statedUntil) <= REPETITION_NANOSECONDS;
        boolean changed = coldBefore != remaining > 0 || !repeated;
        heardAt = Math.max(heardAt, at);
        known |= !source.equals(ANNOUNCEMENT);
        awaitsContact = false;
        statedAt = at;
        statedRemaining = remaining;
        coldUntil = until;
        cause = changed ? source : cause;
        changedAt = changed ? at : changedAt;
        return changed;
    }

    /**
     * Applies what another host reports of a statement, unless this host knows that statement or a newer one. Each
     * report seems a little younger than it is.
     *
     * @param remaining the time for which it stayed cold when it said so, zero if it was warm
     * @param at the time of the statement
     * @param source the other host
     * @return {@code true} if something changed
     */
    public boolean recordReport(long remaining, long at, String source) {
        boolean newer = at - statedAt > REPETITION_NANOSECONDS;
        boolean colder = remaining > 0
                && at - statedAt >= -REPETITION_NANOSECONDS
                && at + remaining - coldUntil > REPETITION_NANOSECONDS;
        boolean afterAssumption = at - assumedAt >= -ROUNDING_NANOSECONDS;
        return (newer || colder)
                && afterAssumption
                && recordStatement(remaining, Math.max(at, Math.max(statedAt, assumedAt)), source);
    }

    /**
     * Assumes that the backend server is cold from now on until it is heard again, and for the configured time after
     * that, unless it states something else.
     *
     * @param source why
     */
    public void assumeCold(long now, String source) {
        awaitsContact = true;
        assumedAt = now;
        cause = source;
    }

    /**
     * Records that a host heard from the backend server. If none had for some time, it counts as cold from then on.
     *
     * @param at the time
     */
    public void recordContact(long at) {
        boolean back = awaitsContact ? at - assumedAt >= 0 : known && silent(at);
        known = true;
        if (back && bounded) {
            assumedAt = Math.max(assumedAt, at);
            coldUntil = Math.max(coldUntil, at + configured.duration().toNanos());
            cause = awaitsContact ? cause : "back after silence";
            awaitsContact = false;
        }
        heardAt = Math.max(heardAt, at);
    }

    /**
     * Records that other hosts would have told of the backend server.
     *
     * @param at the time at which they could have
     */
    public void recordNews(long at) {
        if (!silent(at) && failedAt - heardAt <= 0) {
            heardAt = Math.max(heardAt, at);
        }
    }

    /** Records that this host is in touch with others that would have told it if the backend server was cold. */
    public void recordTouch() {
        known = true;
    }

    /**
     * Records that a host failed to reach the backend server.
     *
     * @param at the time
     */
    public void recordFailure(long at) {
        failedAt = Math.max(failedAt, at);
    }

    /** Returns whether no host has heard from the backend server for so long that it may have started anew. */
    private boolean silent(long now) {
        long limit = failedAt - heardAt > 0 ? UNREACHABLE_NANOSECONDS : SILENCE_NANOSECONDS;
        return bounded && (!known || now - heardAt > limit);
    }

    /** Returns whether the backend server is cold, or may be. */
    public boolean cold(long now) {
        return awaitsContact || now - coldUntil < 0 || silent(now);
    }

    /** Returns the time until it is warm, {@link #NEVER} if that is open, zero if it is warm. */
    public long remainingNanoseconds(long now) {
        return awaitsContact || silent(now) ? NEVER : Math.max(0, coldUntil - now);
    }

    /** Returns what the present state follows from. */
    public String cause(long now) {
        return !awaitsContact && silent(now) ? "silence" : cause;
    }

    /** Returns whether the backend server is cold and its service bounds the requests to such ones. */
    public boolean limited(long now) {
        return bounded && cold(now);
    }

    /**
     * Sets how many hosts may send to the backend server while it is cold.
     *
     * @param count the number, this host included, zero if this host is not among them
     */
    public void assignSenders(int count) {
        senders = count;
    }

    /**
     * Lets this host send rarely, as it does not know how many others do, and the first time after a part of the
     * interval.
     *
     * @param count the number of hosts that may do so
     * @param share the part of the interval, from zero to one
     */
    public void assignUnknownSenders(int count, double share, long now) {
        if (senders != count) {
            senders = count;
            reservedUntil = now + (long) (share * intervalNanoseconds());
        }
    }

    /** Returns whether an attempt at the backend server may start. */
    public boolean permits(long now) {
        return maySend(now) && (!limited(now) || now - reservedUntil >= 0);
    }

    /** Returns whether an attempt may be sent that holds the permit, or needs none. */
    public boolean maySend(long now) {
        return !limited(now) || senders > 0 && now - lastSentAt >= intervalNanoseconds();
    }

    /** Takes the permit of this host for an attempt. */
    public void take(long now) {
        reservedUntil = now + intervalNanoseconds();
    }

    /** Returns the permit of an attempt that was not sent. */
    public void giveBack() {
        reservedUntil = LONG_AGO;
    }

    /** Records that this host sends a request to the backend server. */
    public void recordSent(long now) {
        sentWhileCold += limited(now) ? 1 : 0;
        lastSentAt = now;
    }

    /** Returns the time between two requests of this host, at least one host sending. */
    private long intervalNanoseconds() {
        return (long) (Math.max(1, senders) * NANOSECONDS_PER_SECOND / configured.requestsPerSecond());
    }

    /** Returns the time until this host may send to the cold backend server, {@link #NEVER} if it may not. */
    public long nanosecondsUntilPermit(long now) {
        return senders == 0 ? NEVER : Math.max(0, Math.max(lastSentAt + intervalNanoseconds(), reservedUntil) - now);
    }

    /** Returns the rate at which all hosts together may send to it while it is cold, per nanosecond. */
    public double requestsPerNanosecond() {
        return configured.requestsPerSecond() / NANOSECONDS_PER_SECOND;
    }

    /** Returns the rate at which this host may send to it while it is cold, per nanosecond. */
    public double ownRequestsPerNanosecond() {
        return senders == 0 ? 0 : requestsPerNanosecond() / senders;
    }

    /** Returns the number of requests a second that all hosts together may send to it while it is cold. */
    public double requestsPerSecond() {
        return configured.requestsPerSecond();
    }

    /** Returns whether any host heard from it, as far as this one knows. */
    public boolean known() {
        return known;
    }

    /** Returns the time of its newest own statement. */
    public long statedAt() {
        return statedAt;
    }

    /** Returns the time of the last own statement that changed something. */
    public long changedAt() {
        return changedAt;
    }

    /** Returns the time for which it stayed cold by its newest own statement, zero if it was warm. */
    public long statedRemaining() {
        return statedRemaining;
    }

    /** Returns the time at which any host last heard from it. */
    public long heardAt() {
        return heardAt;
    }

    /** Returns the number of requests that this host sent to it while it was cold. */
    public long sentWhileCold() {
        return sentWhileCold;
    }
}
