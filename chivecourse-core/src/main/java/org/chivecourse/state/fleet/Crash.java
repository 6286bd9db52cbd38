package org.chivecourse.state.fleet;

/**
 * A request that was running at a backend server when the server failed.
 *
 * @param fingerprint a hash that duplicates of the request share
 * @param server the identity of the backend server
 */
public record Crash(long fingerprint, String server) {}
