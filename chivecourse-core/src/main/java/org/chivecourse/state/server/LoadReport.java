package org.chivecourse.state.server;

/**
 * The load that a backend server states of itself.
 *
 * @param inFlight the number of requests it runs or holds waiting
 * @param slots the number of requests it runs at the same time
 */
public record LoadReport(int inFlight, int slots) {}
