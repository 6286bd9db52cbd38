package org.chivecourse.state.fleet;

/**
 * A request that a backend server ran to a good end although it was suspected of ending servers.
 *
 * @param fingerprint a hash that duplicates of the request share
 * @param answeredAt the time of the answer, in nanoseconds of the clock of the host that holds this record
 */
public record AnsweredRequest(long fingerprint, long answeredAt) {}
