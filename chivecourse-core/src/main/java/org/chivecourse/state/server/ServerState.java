package org.chivecourse.state.server;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;

/** What one host knows of a backend server; times are in nanoseconds of the host's monotonic clock. */
public final class ServerState {

    /** The weight of a new value in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.2;

    /** The backend server as configured. */
    private BackendServer server;

    /** The number of requests that this host has sent and not seen end. */
    private int ownInFlight;

    /** The moving average of the time to the start of an answer, zero before the first. */
    private double responseNanoseconds;

    /** The number of other hosts' requests in the last report. */
    private int othersInFlight;

    /** The time of the last report. */
    private long reportedAt;

    /** Whether there was a report. */
    private boolean reported;

    /** The number of failures since the last success. */
    private int failuresInRow;

    /** The time until which the backend server gets no requests. */
    private long ejectedUntil;

    /** Whether the backend server is ejected or was and has not succeeded since. */
    private boolean ejected;

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
     */
    public ServerState(BackendServer server, long now) {
        this.server = server;
        startedAt = now;
        leaving = server.mode() == ServerMode.LEAVING ? LeavingCause.CONFIGURATION : LeavingCause.NONE;
    }

    /**
     * Takes over a changed configuration of the backend server.
     *
     * @param changed the backend server as configured now
     */
    public void reconfigure(BackendServer changed) {
        boolean was = server.mode() == ServerMode.LEAVING;
        boolean now = changed.mode() == ServerMode.LEAVING;
        server = changed;
        if (now) {
            leaving = LeavingCause.CONFIGURATION;
        } else if (was && leaving == LeavingCause.CONFIGURATION) {
            leaving = LeavingCause.NONE;
        }
    }

    /**
     * Records that a request is about to be sent.
     */
    public void begin() {
        ownInFlight++;
        sent++;
    }

    /**
     * Records that a request ended in any way.
     */
    public void end() {
        ownInFlight--;
    }

    /**
     * Records the start of an answer.
     *
     * @param nanoseconds the time since the request was sent
     */
    public void responded(long nanoseconds) {
        responseNanoseconds = responseNanoseconds == 0
                ? nanoseconds
                : responseNanoseconds + AVERAGE_WEIGHT * (nanoseconds - responseNanoseconds);
        failuresInRow = 0;
        ejected = false;
    }

    /**
     * Records a report.
     *
     * @param report the report
     * @param now the time
     */
    public void report(LoadReport report, long now) {
        othersInFlight = Math.max(0, report.inFlight() - ownInFlight);
        reportedAt = now;
        reported = true;
    }

    /**
     * Records a failure.
     *
     * @return the number of failures since the last success
     */
    public int fail() {
        failed++;
        failuresInRow++;
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
        if (leaving == LeavingCause.NONE || leaving == LeavingCause.CONFIGURATION) {
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
        return ownInFlight;
    }

    /**
     * Returns the moving average of the time to the start of an answer.
     *
     * @return the time in nanoseconds, zero before the first answer
     */
    public double responseNanoseconds() {
        return responseNanoseconds;
    }

    /**
     * Returns the number of other hosts' requests in the last report.
     *
     * @return the number of requests
     */
    public int othersInFlight() {
        return othersInFlight;
    }

    /**
     * Returns whether there was a report.
     *
     * @return {@code true} after the first report
     */
    public boolean reported() {
        return reported;
    }

    /**
     * Returns the time of the last report.
     *
     * @return the time
     */
    public long reportedAt() {
        return reportedAt;
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
