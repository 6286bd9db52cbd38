package org.chivecourse.state.fleet;

/**
 * A request whose run coincided with the failure of a backend server.
 *
 * @param fingerprint a number that copies of the request share
 * @param server the identity of the backend server
 */
public record Crash(long fingerprint, String server) {}
