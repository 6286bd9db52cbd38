package org.chivecourse.state.server;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;

/** What one host knows of a backend server; times are in nanoseconds of the host's monotonic clock. */
public final class ServerState {

    /** The time after which a backend server counts as warm in any case. */
    private static final long WARM_NANOSECONDS = 60_000_000_000L;

    /** The weight of a new value in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** The largest limit of requests in flight as a multiple of the slots. */
    private static final double LARGEST_LIMIT_FACTOR = 2;

    /** The growth of the limit with each answer, in requests. */
    private static final double LIMIT_STEP = 0.05;

    /** The factor by which a refusal reduces the limit. */
    private static final double LIMIT_REDUCTION = 0.7;

    /** The backend server as configured or announced. */
    private BackendServer server;

    /** The number of its life, zero if it is configured. */
    private final long incarnation;

    /** Whether it stands in the data centre of this host. */
    private final boolean near;

    /** The time until which it is slow since it has just started, in nanoseconds. */
    private long coldUntil;

    /** How well it has worked of late. */
    private final ServerCondition condition = new ServerCondition();

    /** The times at which this host's open requests were begun, the oldest first. */
    private final LongQueue open = new LongQueue();

    /** The moving average of the time that a request takes without waiting, zero before the first answer. */
    private double serviceNanoseconds;

    /** The moving average of the share of failed requests. */
    private double failureShare;

    /** The largest number of requests in flight, over all hosts, that this host adds to. */
    private double limit;

    /** The number of times that the backend server was ejected since it last worked well. */
    private int ejections;

    /** What is known of other hosts' requests. */
    private final ReportedLoad load = new ReportedLoad();

    /** The number of failures since the last success. */
    private int failuresInRow;

    /** The time until which the backend server gets no requests. */
    private long ejectedUntil;

    /** Whether the backend server is ejected or was and has not succeeded since. */
    private boolean ejected;

    /** The time at which the host learnt of the backend server. */
    private final long learntAt;

    /** The time at which the backend server was first seen or came back. */
    private long startedAt;

    /** How the host learnt that the backend server is leaving. */
    private LeavingCause leaving;

    /** The number of requests sent. */
    private long sent;

    /** The number of requests that failed. */
    private long failed;

    /**
     * Creates the state of a backend server that was just learnt of.
     *
     * @param server the backend server as configured
     * @param now the time
     * @param warm whether the backend server counts as warm
     */
    public ServerState(BackendServer server, long now, boolean warm) {
        this(server, 0, true, now, warm);
    }

    /**
     * Creates the state of a backend server to which nothing was sent.
     *
     * @param server the backend server as configured or announced
     * @param incarnation the number of its life, zero if it is configured
     * @param near whether it stands in the data centre of this host
     * @param now the time in nanoseconds
     * @param warm whether the backend server has been serving for a while
     */
    public ServerState(BackendServer server, long incarnation, boolean near, long now, boolean warm) {
        this.server = server;
        this.incarnation = incarnation;
        this.near = near;
        learntAt = now;
        coldUntil = now;
        startedAt = warm ? now - WARM_NANOSECONDS : now;
        limit = server.slots();
        leaving = LeavingCause.NONE;
        reconfigure(server);
    }

    /**
     * Takes over a changed configuration of the backend server.
     *
     * @param changed the backend server as configured now
     */
    public void reconfigure(BackendServer changed) {
        LeavingCause stated = changed.announced() ? LeavingCause.ANNOUNCEMENT : LeavingCause.CONFIGURATION;
        server = changed;
        if (changed.mode() == ServerMode.LEAVING) {
            leaving = stated;
        } else if (leaving == stated) {
            leaving = LeavingCause.NONE;
        }
    }

    /**
     * Records that a request is about to be sent.
     *
     * @param now the time
     */
    public void begin(long now) {
        open.add(now);
        sent++;
    }

    /**
     * Records that a request ended in any way.
     *
     * @param begunAt the time that {@link #begin} was given for it
     */
    public void end(long begunAt) {
        open.remove(begunAt);
    }

    /**
     * Records the start of an answer that is no failure.
     *
     * @param nanoseconds the time since the request was sent
     * @param inFlight the estimated number of requests in flight when it was sent, itself included
     */
    public void responded(long nanoseconds, double inFlight) {
        double alone = nanoseconds / Math.max(1, inFlight / server.slots());
        serviceNanoseconds =
                serviceNanoseconds == 0 ? alone : serviceNanoseconds + AVERAGE_WEIGHT * (alone - serviceNanoseconds);
        failureShare -= AVERAGE_WEIGHT * failureShare;
        limit = Math.min(LARGEST_LIMIT_FACTOR * server.slots(), limit + LIMIT_STEP);
        failuresInRow = 0;
        ejected = false;
        ejections = 0;
    }

    /**
     * Records that the backend server refused a request.
     */
    public void refused() {
        limit = Math.max(1, limit * LIMIT_REDUCTION);
    }

    /**
     * Records a report.
     *
     * @param report the report
     * @param at the time at which it was stated, this host's requests since then not being counted in it
     */
    public void report(LoadReport report, long at) {
        condition.slowness(report.slownessPercent(), at);
        load.report(report.inFlight(), open.upTo(at), at);
    }

    /**
     * Records that other hosts handed requests to the backend server.
     *
     * @param requests the number of requests
     * @param at the time of the last one
     */
    public void othersHanded(int requests, long at) {
        load.handed(requests, at);
    }

    /**
     * Has further reports change a sum.
     *
     * @param sum the sum
     */
    void countIn(ReportedTotal sum) {
        load.countIn(sum);
    }

    /**
     * Records a failure.
     *
     * @return the number of failures since the last success
     */
    public int fail() {
        failed++;
        failuresInRow++;
        failureShare += AVERAGE_WEIGHT * (1 - failureShare);
        return failuresInRow;
    }

    /**
     * Ejects the backend server for a time.
     *
     * @param until the time at which it may get requests again
     */
    public void eject(long until) {
        ejectedUntil = until;
        startedAt = until;
        ejected = true;
        ejections++;
    }

    /**
     * Marks the backend server as leaving.
     *
     * @param cause how the host learnt of it
     * @return {@code true} if it was not marked before
     */
    public boolean leave(LeavingCause cause) {
        if (leaving != LeavingCause.NONE) {
            return false;
        }
        leaving = cause;
        return true;
    }

    /**
     * Marks the backend server as staying unless the configuration says that it leaves.
     *
     * @return {@code true} if it was marked as leaving before
     */
    public boolean stay() {
        if (leaving == LeavingCause.NONE || !leaving.revocable()) {
            return false;
        }
        leaving = LeavingCause.NONE;
        return true;
    }

    /**
     * Returns the backend server as configured.
     *
     * @return the backend server
     */
    public BackendServer server() {
        return server;
    }

    /**
     * Takes over the time for which it stays slow since it has just started.
     *
     * @param time the time until which it is slow, in nanoseconds
     */
    public void coldUntil(long time) {
        coldUntil = time;
    }

    /**
     * Returns whether it is slow since it has just started.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if it said so
     */
    public boolean cold(long now) {
        return now - coldUntil < 0;
    }

    /**
     * Returns the number of its life.
     *
     * @return the incarnation, zero if it is configured
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns whether it stands in the data centre of this host.
     *
     * @return {@code true} if no data centre lies between
     */
    public boolean near() {
        return near;
    }

    /**
     * Returns how well it has worked of late.
     *
     * @return the condition
     */
    public ServerCondition condition() {
        return condition;
    }

    /**
     * Returns the identity.
     *
     * @return the name under which it announced itself, or its address if it is configured
     */
    public String identity() {
        return server.identity();
    }

    /**
     * Returns the address.
     *
     * @return the address
     */
    public String address() {
        return server.address();
    }

    /**
     * Returns the number of requests that this host has sent and not seen end.
     *
     * @return the number of requests
     */
    public int ownInFlight() {
        return open.size();
    }

    /**
     * Returns how long the oldest open request of this host has been open.
     *
     * @param now the time
     * @return the time in nanoseconds, zero if none is open
     */
    public long oldestOpen(long now) {
        return open.size() == 0 ? 0 : now - open.first();
    }

    /**
     * Returns the moving average of the time that a request takes without waiting.
     *
     * @return the time in nanoseconds, zero before the first answer
     */
    public double serviceNanoseconds() {
        return serviceNanoseconds;
    }

    /**
     * Returns the moving average of the share of failed requests.
     *
     * @return the share from zero to one
     */
    public double failureShare() {
        return failureShare;
    }

    /**
     * Returns the largest number of requests in flight, over all hosts, that this host adds to.
     *
     * @return the number of requests
     */
    public double limit() {
        return limit;
    }

    /**
     * Returns the number of times that the backend server was ejected since it last worked well.
     *
     * @return the number of ejections
     */
    public int ejections() {
        return ejections;
    }

    /**
     * Returns the number of other hosts' requests in the last report and of those that they told of since.
     *
     * @return the number of requests
     */
    public int othersInFlight() {
        return load.others();
    }

    /**
     * Returns whether there was a report.
     *
     * @return {@code true} after the first report
     */
    public boolean reported() {
        return load.reported();
    }

    /**
     * Returns the time of the last report.
     *
     * @return the time
     */
    public long reportedAt() {
        return load.reportedAt();
    }

    /**
     * Returns whether the backend server is ejected.
     *
     * @param now the time
     * @return {@code true} if it gets no requests now
     */
    public boolean ejected(long now) {
        return ejected && now - ejectedUntil < 0;
    }

    /**
     * Returns the time at which the backend server was first seen or came back.
     *
     * @return the time
     */
    public long startedAt() {
        return startedAt;
    }

    /**
     * Returns the time at which the host learnt of the backend server.
     *
     * @return the time
     */
    public long learntAt() {
        return learntAt;
    }

    /**
     * Returns how the host learnt that the backend server is leaving.
     *
     * @return the cause, {@link LeavingCause#NONE} if it is not leaving
     */
    public LeavingCause leaving() {
        return leaving;
    }

    /**
     * Returns the number of requests sent.
     *
     * @return the number of requests
     */
    public long sent() {
        return sent;
    }

    /**
     * Returns the number of requests that failed.
     *
     * @return the number of requests
     */
    public long failed() {
        return failed;
    }
}
