package org.chivecourse.state.fleet;

import org.chivecourse.state.server.RequestLimit;

/**
 * What a gateway knows of the request limit of a backend server, and how many requests it sent there.
 *
 * @param server the identity of the backend server
 * @param incarnation the incarnation of the backend server's process
 * @param limit the limit that the backend server stated
 * @param statedAt the time of that statement, in nanoseconds of the clock of the host that holds this record
 * @param dispatched the number of requests that the gateway has sent to the backend server since it first learnt of a
 *     limit
 */
public record LimitReport(String server, long incarnation, RequestLimit limit, long statedAt, long dispatched) {}
