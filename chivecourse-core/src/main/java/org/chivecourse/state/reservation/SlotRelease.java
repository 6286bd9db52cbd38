package org.chivecourse.state.reservation;

import org.chivecourse.state.server.LoadReport;

/**
 * The end of a request for a slot, or of the reservation that it was granted.
 *
 * @param requester the requesting gateway and the number of the request
 * @param outcome how the reservation was used
 * @param report the load that the backend server reported with its answer, {@code null} if it reported none
 */
public record SlotRelease(SlotKey requester, SlotOutcome outcome, LoadReport report) {}
