package org.chivecourse.state.server;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;

/** What one host knows of a backend server; times are in nanoseconds of the host's monotonic clock. */
public final class ServerState {

    /** The time after which a backend server counts as warm in any case. */
    private static final long WARM_UP_NANOSECONDS = 60_000_000_000L;

    /** The weight of a new value in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** The largest limit of requests in flight as a multiple of the slots. */
    private static final double MAXIMUM_LIMIT_FACTOR = 2;

    /** The growth of the limit with each answer, in requests. */
    private static final double LIMIT_INCREMENT = 0.05;

    /** The factor by which a refusal reduces the limit. */
    private static final double LIMIT_REDUCTION_FACTOR = 0.7;

    /** The backend server as configured or announced. */
    private BackendServer server;

    /** The number of its life, zero if it is configured. */
    private final long incarnation;

    /** Whether it stands in the data centre of this host. */
    private final boolean local;

    /** The time until which it is slow since it has just started, in nanoseconds. */
    private long coldUntil;

    /** How well it has worked of late. */
    private final ServerCondition condition = new ServerCondition();

    /** The times at which this host's open requests were begun, the oldest first. */
    private final SortedLongList openRequests = new SortedLongList();

    /** The moving average of the time that a request takes without waiting, zero before the first answer. */
    private double averageServiceNanoseconds;

    /** The moving average of the share of failed requests. */
    private double failureShare;

    /** The largest number of requests in flight, over all hosts, that this host adds to. */
    private double concurrencyLimit;

    /** The number of times that the backend server was ejected since it last worked well. */
    private int ejections;

    /** What is known of other hosts' requests. */
    private final ReportedLoad reportedLoad = new ReportedLoad();

    /** The number of failures since the last success. */
    private int consecutiveFailures;

    /** The time until which the backend server gets no requests. */
    private long ejectedUntil;

    /** Whether the backend server is ejected or was and has not succeeded since. */
    private boolean ejected;

    /** The time at which the host learnt of the backend server. */
    private final long discoveredAt;

    /** The time at which the backend server was first seen or came back. */
    private long warmUpStartedAt;

    /** How the host learnt that the backend server is leaving. */
    private LeavingCause leavingCause;

    /** The number of requests sent. */
    private long requestsSent;

    /** The number of requests that failed. */
    private long requestsFailed;

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
     * @param local whether it stands in the data centre of this host
     * @param now the time in nanoseconds
     * @param warm whether the backend server has been serving for a while
     */
    public ServerState(BackendServer server, long incarnation, boolean local, long now, boolean warm) {
        this.server = server;
        this.incarnation = incarnation;
        this.local = local;
        discoveredAt = now;
        coldUntil = now;
        warmUpStartedAt = warm ? now - WARM_UP_NANOSECONDS : now;
        concurrencyLimit = server.slots();
        leavingCause = LeavingCause.NONE;
        reconfigure(server);
    }

    /**
     * Takes over a changed configuration of the backend server.
     *
     * @param changed the backend server as configured now
     */
    public void reconfigure(BackendServer changed) {
        LeavingCause statedCause = changed.announced() ? LeavingCause.ANNOUNCEMENT : LeavingCause.CONFIGURATION;
        server = changed;
        if (changed.mode() == ServerMode.LEAVING) {
            leavingCause = statedCause;
        } else if (leavingCause == statedCause) {
            leavingCause = LeavingCause.NONE;
        }
    }

    /**
     * Records that a request is about to be sent.
     *
     * @param now the time
     */
    public void beginRequest(long now) {
        openRequests.add(now);
        requestsSent++;
    }

    /**
     * Records that a request ended in any way.
     *
     * @param startedAt the time that {@link #beginRequest} was given for it
     */
    public void endRequest(long startedAt) {
        openRequests.remove(startedAt);
    }

    /**
     * Records the start of an answer that is no failure.
     *
     * @param nanoseconds the time since the request was sent
     * @param inFlight the estimated number of requests in flight when it was sent, itself included
     */
    public void recordResponse(long nanoseconds, double inFlight) {
        double serviceSample = nanoseconds / Math.max(1, inFlight / server.slots());
        averageServiceNanoseconds = averageServiceNanoseconds == 0
                ? serviceSample
                : averageServiceNanoseconds + AVERAGE_WEIGHT * (serviceSample - averageServiceNanoseconds);
        failureShare -= AVERAGE_WEIGHT * failureShare;
        concurrencyLimit = Math.min(MAXIMUM_LIMIT_FACTOR * server.slots(), concurrencyLimit + LIMIT_INCREMENT);
        consecutiveFailures = 0;
        ejected = false;
        ejections = 0;
    }

    /**
     * Records that the backend server refused a request.
     */
    public void recordRefusal() {
        concurrencyLimit = Math.max(1, concurrencyLimit * LIMIT_REDUCTION_FACTOR);
    }

    /**
     * Records a report.
     *
     * @param report the report
     * @param reportedAt the time at which it was stated, this host's requests since then not being counted in it
     */
    public void recordReport(LoadReport report, long reportedAt) {
        condition.recordSlowness(report.slownessPercent(), reportedAt);
        reportedLoad.recordReport(report.inFlight(), openRequests.countUpTo(reportedAt), reportedAt);
    }

    /**
     * Records that other hosts handed requests to the backend server.
     *
     * @param requests the number of requests
     * @param lastDispatchedAt the time of the last one
     */
    public void recordOthersDispatched(int requests, long lastDispatchedAt) {
        reportedLoad.recordDispatched(requests, lastDispatchedAt);
    }

    /**
     * Has further reports change a sum.
     *
     * @param sum the sum
     */
    void contributeTo(ReportedTotal sum) {
        reportedLoad.contributeTo(sum);
    }

    /**
     * Records a failure.
     *
     * @return the number of failures since the last success
     */
    public int recordFailure() {
        requestsFailed++;
        consecutiveFailures++;
        failureShare += AVERAGE_WEIGHT * (1 - failureShare);
        return consecutiveFailures;
    }

    /**
     * Ejects the backend server for a time.
     *
     * @param until the time at which it may get requests again
     */
    public void eject(long until) {
        ejectedUntil = until;
        warmUpStartedAt = until;
        ejected = true;
        ejections++;
    }

    /**
     * Marks the backend server as leaving.
     *
     * @param cause how the host learnt of it
     * @return {@code true} if it was not marked before
     */
    public boolean markLeaving(LeavingCause cause) {
        if (leavingCause != LeavingCause.NONE) {
            return false;
        }
        leavingCause = cause;
        return true;
    }

    /**
     * Marks the backend server as staying unless the configuration says that it leaves.
     *
     * @return {@code true} if it was marked as leaving before
     */
    public boolean markInService() {
        if (leavingCause == LeavingCause.NONE || !leavingCause.revocable()) {
            return false;
        }
        leavingCause = LeavingCause.NONE;
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
     * @param until the time until which it is slow, in nanoseconds
     */
    public void setColdUntil(long until) {
        coldUntil = until;
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
    public boolean local() {
        return local;
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
        return openRequests.size();
    }

    /**
     * Returns how long the oldest open request of this host has been open.
     *
     * @param now the time
     * @return the time in nanoseconds, zero if none is open
     */
    public long oldestRequestAge(long now) {
        return openRequests.size() == 0 ? 0 : now - openRequests.first();
    }

    /**
     * Returns the moving average of the time that a request takes without waiting.
     *
     * @return the time in nanoseconds, zero before the first answer
     */
    public double averageServiceNanoseconds() {
        return averageServiceNanoseconds;
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
    public double concurrencyLimit() {
        return concurrencyLimit;
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
        return reportedLoad.othersInFlight();
    }

    /**
     * Returns whether there was a report.
     *
     * @return {@code true} after the first report
     */
    public boolean hasReport() {
        return reportedLoad.hasReport();
    }

    /**
     * Returns the time of the last report.
     *
     * @return the time
     */
    public long reportedAt() {
        return reportedLoad.reportedAt();
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
    public long warmUpStartedAt() {
        return warmUpStartedAt;
    }

    /**
     * Returns the time at which the host learnt of the backend server.
     *
     * @return the time
     */
    public long discoveredAt() {
        return discoveredAt;
    }

    /**
     * Returns how the host learnt that the backend server is leaving.
     *
     * @return the cause, {@link LeavingCause#NONE} if it is not leaving
     */
    public LeavingCause leavingCause() {
        return leavingCause;
    }

    /**
     * Returns the number of requests sent.
     *
     * @return the number of requests
     */
    public long requestsSent() {
        return requestsSent;
    }

    /**
     * Returns the number of requests that failed.
     *
     * @return the number of requests
     */
    public long requestsFailed() {
        return requestsFailed;
    }
}
