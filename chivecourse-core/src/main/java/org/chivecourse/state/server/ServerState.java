package org.chivecourse.state.server;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;

/** The state that a host keeps for a backend server. Times are in nanoseconds of the host's monotonic clock. */
public final class ServerState {

    /** Separates the identity from the incarnation in the name of a process. */
    private static final char INCARNATION_SEPARATOR = '/';

    /** The time after which a backend server counts as warm at the latest, in nanoseconds. */
    private static final long WARM_UP_NANOSECONDS = 60_000_000_000L;

    /** The weight of a new value in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** The maximum concurrency limit as a multiple of the slots. */
    private static final double MAXIMUM_LIMIT_FACTOR = 2;

    /** The additive increase of the concurrency limit on each successful answer, in requests. */
    private static final double LIMIT_INCREMENT = 0.05;

    /** The factor by which a refusal reduces the concurrency limit. */
    private static final double LIMIT_REDUCTION_FACTOR = 0.7;

    /** The backend server as currently configured or announced. */
    private BackendServer server;

    /** The incarnation of its process, zero if it comes from the configuration. */
    private final long incarnation;

    /** Whether it is in the data centre of this host. */
    private final boolean local;

    /** Its recent failures, slowness, reachability, health and response times. */
    private final ServerCondition condition = new ServerCondition();

    /** The start times of this host's open requests, the oldest first. */
    private final SortedLongList openRequests = new SortedLongList();

    /** Its slots that this host reserves for others. */
    private final ServerReservations reservations = new ServerReservations();

    /** The moving average of the time that a request takes without queueing, zero before the first answer. */
    private double averageServiceNanoseconds;

    /** The moving average of the share of failed requests. */
    private double failureShare;

    /** The number of requests in flight, over all hosts, up to which this host sends further ones. */
    private double concurrencyLimit;

    /** The number of ejections since the last success. */
    private int ejections;

    /** The requests of other hosts, from load reports and digests. */
    private final ReportedLoad reportedLoad = new ReportedLoad();

    /** When this host and others were in contact with it. */
    private final ServerContact contact = new ServerContact();

    /** Its request limit. */
    private final RequestAllowance allowance = new RequestAllowance();

    /** How long it is cold. */
    private final ServerWarmUp warmUp;

    /** The rest that it asked this host for. */
    private final ServerRest rest = new ServerRest();

    /** The number of failures since the last success. */
    private int consecutiveFailures;

    /** The time at which the last ejection ends. */
    private long ejectedUntil;

    /** Whether the backend server was ejected and has not succeeded since; the ejection may have ended. */
    private boolean ejected;

    /** The time at which the host learnt of the backend server. */
    private final long discoveredAt;

    /**
     * The time at which the warm-up started: when the backend server was discovered, or when its last ejection ends.
     */
    private long warmUpStartedAt;

    /** How the host learnt that the backend server is leaving, {@link LeavingCause#NONE} if it is in service. */
    private LeavingCause leavingCause;

    /** How the backend server itself made known that it is leaving, {@link LeavingCause#NONE} if it has not. */
    private LeavingCause ownStatement = LeavingCause.NONE;

    /** The number of requests sent. */
    private long requestsSent;

    /** The number of requests that failed. */
    private long requestsFailed;

    /**
     * Creates the state of a configured backend server in the data centre of this host.
     *
     * @param server the backend server as configured
     * @param now the current time
     * @param warm whether the backend server counts as warm
     */
    public ServerState(BackendServer server, long now, boolean warm) {
        this(server, 0, true, now, warm);
    }

    /**
     * Creates the state of a backend server that was just discovered.
     *
     * @param server the backend server as configured or announced
     * @param incarnation the incarnation of its process, zero if it comes from the configuration
     * @param local whether it is in the data centre of this host
     * @param now the current time
     * @param warm whether the backend server counts as warm
     */
    public ServerState(BackendServer server, long incarnation, boolean local, long now, boolean warm) {
        this.server = server;
        this.incarnation = incarnation;
        this.local = local;
        discoveredAt = now;
        warmUp = new ServerWarmUp(now);
        warmUpStartedAt = warm ? now - WARM_UP_NANOSECONDS : now;
        concurrencyLimit = server.slots();
        leavingCause = LeavingCause.NONE;
        reconfigure(server);
    }

    /**
     * Applies a changed configuration or announcement of the backend server, which may mark it as leaving or revoke
     * that. It does not revoke what the backend server itself made known.
     *
     * @param changed the backend server as now configured or announced
     */
    public void reconfigure(BackendServer changed) {
        LeavingCause statedCause = changed.announced() ? LeavingCause.ANNOUNCEMENT : LeavingCause.CONFIGURATION;
        server = changed;
        if (changed.mode() == ServerMode.LEAVING) {
            leavingCause = statedCause;
        } else if (leavingCause == statedCause) {
            leavingCause = ownStatement;
        }
    }

    /**
     * Adopts what the same process of the backend server made known before its announcement lapsed and returned.
     *
     * @param earlier the state of that time
     */
    public void adoptStatements(ServerState earlier) {
        markLeaving(earlier.ownStatement);
        rest.adopt(earlier.rest);
    }

    /** Returns whether the backend server itself made known that it is leaving, or asked this host for rest. */
    public boolean hasStatements() {
        return ownStatement != LeavingCause.NONE || rest.requested();
    }

    /** Returns the rest that it asked this host for. */
    public ServerRest rest() {
        return rest;
    }

    /** Returns whether it is in service and does not rest. */
    public boolean takesRequests(long now) {
        return leavingCause == LeavingCause.NONE && !rest.active(now);
    }

    /**
     * Records that a request is about to be sent.
     *
     * @param now the current time
     */
    public void beginRequest(long now) {
        openRequests.add(now);
        requestsSent++;
    }

    /**
     * Records the end of a request, whatever its outcome.
     *
     * @param startedAt the time that was passed to {@link #beginRequest} for it
     */
    public void endRequest(long startedAt) {
        openRequests.remove(startedAt);
    }

    /** Returns its slots that this host reserves for others. */
    public ServerReservations reservations() {
        return reservations;
    }

    /** Returns the number of its requests that this host knows of: its own and those that it reserved slots for. */
    public int knownInFlight() {
        return openRequests.size() + reservations.size();
    }

    /**
     * Records the start of a successful answer, which raises the concurrency limit and ends any ejection.
     *
     * @param nanoseconds the time since the request was sent
     * @param inFlight the estimated number of requests in flight when it was sent, including itself
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

    /** Records that the backend server refused a request, which reduces the concurrency limit. */
    public void recordRefusal() {
        concurrencyLimit = Math.max(1, concurrencyLimit * LIMIT_REDUCTION_FACTOR);
    }

    /**
     * Records a load report.
     *
     * @param report the report
     * @param reportedAt the time of the report; requests that this host started later are not counted in it
     */
    public void recordReport(LoadReport report, long reportedAt) {
        condition.recordSlowness(report.slownessPercent(), reportedAt);
        int known = openRequests.countUpTo(reportedAt) + reservations.settle(report.inFlight(), reportedAt);
        reportedLoad.recordReport(report.inFlight(), known, reportedAt);
    }

    /**
     * Records requests that other hosts dispatched to the backend server.
     *
     * @param requests the number of requests
     * @param lastDispatchedAt the time of the last of them
     */
    public void recordOthersDispatched(int requests, long lastDispatchedAt) {
        reportedLoad.recordDispatched(requests, lastDispatchedAt);
    }

    /**
     * Adds later changes of the number of other hosts' requests to a sum.
     *
     * @param sum the sum
     */
    void contributeTo(ReportedTotal sum) {
        reportedLoad.contributeTo(sum);
    }

    /**
     * Records a failed request.
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
     * Ejects the backend server for a time, after which it warms up again.
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
     * Marks the backend server as leaving. If it is leaving already, the first cause is kept.
     *
     * @param cause how the host learnt of it
     * @return {@code true} if it was in service before
     */
    public boolean markLeaving(LeavingCause cause) {
        ownStatement = cause.revocable() ? cause : ownStatement;
        if (leavingCause != LeavingCause.NONE) {
            return false;
        }
        leavingCause = cause;
        return true;
    }

    /**
     * Returns the backend server to service, unless the cause of its leaving is not {@linkplain LeavingCause#revocable
     * revocable}.
     *
     * @return {@code true} if it was leaving before and is in service now
     */
    public boolean markInService() {
        ownStatement = LeavingCause.NONE;
        if (leavingCause == LeavingCause.NONE || !leavingCause.revocable()) {
            return false;
        }
        leavingCause = LeavingCause.NONE;
        return true;
    }

    /** Returns the backend server as currently configured or announced. */
    public BackendServer server() {
        return server;
    }

    /** Returns how long it is cold. */
    public ServerWarmUp warmUp() {
        return warmUp;
    }

    /** Returns the incarnation of its process, zero if it comes from the configuration. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns whether it is in the data centre of this host. */
    public boolean local() {
        return local;
    }

    /** Returns its recent condition. */
    public ServerCondition condition() {
        return condition;
    }

    /** Returns when this host and others were in contact with it. */
    public ServerContact contact() {
        return contact;
    }

    /** Returns its request limit. */
    public RequestAllowance allowance() {
        return allowance;
    }

    /** Returns the name under which it announced itself, or its address if it comes from the configuration. */
    public String identity() {
        return server.identity();
    }

    /** Returns the name of its process, which differs after a restart if the backend server announces itself. */
    public String processName() {
        return incarnation == 0 ? identity() : identity() + INCARNATION_SEPARATOR + incarnation;
    }

    /** Returns the identity of the backend server whose process has a name. */
    public static String identityOfProcess(String process) {
        int separator = process.lastIndexOf(INCARNATION_SEPARATOR);
        return separator < 0 ? process : process.substring(0, separator);
    }

    /** Returns the address. */
    public String address() {
        return server.address();
    }

    /** Returns the number of this host's requests that have not ended. */
    public int ownInFlight() {
        return openRequests.size();
    }

    /**
     * Returns the age of this host's oldest open request.
     *
     * @param now the current time
     * @return the age in nanoseconds, zero if there is no open request
     */
    public long oldestRequestAge(long now) {
        return openRequests.size() == 0 ? 0 : now - openRequests.first();
    }

    /** Returns the moving average of the time that a request takes without queueing, zero before the first answer. */
    public double averageServiceNanoseconds() {
        return averageServiceNanoseconds;
    }

    /** Returns the moving average of the share of failed requests, from zero to one. */
    public double failureShare() {
        return failureShare;
    }

    /** Returns the number of requests in flight, over all hosts, up to which this host sends further ones. */
    public double concurrencyLimit() {
        return concurrencyLimit;
    }

    /** Returns the number of ejections since the last success. */
    public int ejections() {
        return ejections;
    }

    /**
     * Returns the number of other hosts' requests in the last load report and of those that they reported as dispatched
     * since.
     */
    public int othersInFlight() {
        return reportedLoad.othersInFlight();
    }

    /** Returns whether a load report was received. */
    public boolean hasReport() {
        return reportedLoad.hasReport();
    }

    /** Returns the time of the last load report, zero if there was none. */
    public long reportedAt() {
        return reportedLoad.reportedAt();
    }

    /**
     * Returns whether the backend server is ejected.
     *
     * @param now the current time
     * @return {@code true} if it gets no requests at the moment
     */
    public boolean ejected(long now) {
        return ejected && now - ejectedUntil < 0;
    }

    /**
     * Returns the time at which the warm-up started: when the backend server was discovered, or when its last ejection
     * ends.
     */
    public long warmUpStartedAt() {
        return warmUpStartedAt;
    }

    /** Returns the time at which the host learnt of the backend server. */
    public long discoveredAt() {
        return discoveredAt;
    }

    /**
     * Returns how the host learnt that the backend server is leaving, {@link LeavingCause#NONE} if it is in service.
     */
    public LeavingCause leavingCause() {
        return leavingCause;
    }

    /** Returns the number of requests sent. */
    public long requestsSent() {
        return requestsSent;
    }

    /** Returns the number of requests that failed. */
    public long requestsFailed() {
        return requestsFailed;
    }
}
