package org.chivecourse.state.fleet;

/**
 * The room that the backend servers of a data centre have for requests of a service.
 *
 * @param service the name of the service
 * @param slots the slots of those that take requests
 * @param inFlight the requests that they run or hold waiting
 * @param spareRequestsPerSecond the requests a second that the data centre takes from each other one that needs it
 * @param observedAt the time at which the room was determined, in nanoseconds of this gateway's clock
 */
public record Room(String service, int slots, int inFlight, int spareRequestsPerSecond, long observedAt) {}
