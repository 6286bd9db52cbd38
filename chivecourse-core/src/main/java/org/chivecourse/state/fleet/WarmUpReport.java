package org.chivecourse.state.fleet;

/**
 * What a backend server stated of its warm-up.
 *
 * @param server the identity of the backend server
 * @param incarnation the incarnation of the backend server's process
 * @param remainingNanoseconds the time for which it stayed cold when it said so, in nanoseconds, zero if it was warm
 * @param statedAt the time of that statement, in nanoseconds of the clock of the host that holds this record
 */
public record WarmUpReport(String server, long incarnation, long remainingNanoseconds, long statedAt) {}
