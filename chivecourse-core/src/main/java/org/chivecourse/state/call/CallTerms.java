package org.chivecourse.state.call;

import org.chivecourse.configuration.model.Method;

/**
 * What does not change of a call.
 *
 * @param service the name of the service
 * @param method the method of the request
 * @param path the path of the request without its query
 * @param idempotent whether the request may run more than once
 * @param maximumAttempts the number of times the request may be sent
 * @param hedged whether a second copy may be sent while the first is unanswered
 * @param replayable whether the request's body can be sent again
 * @param key the idempotency key, empty if the caller gave none
 * @param fingerprint a number that copies of the request share
 * @param arrivedAt the time of arrival in nanoseconds
 * @param deadline the time in nanoseconds at which the caller gets an answer in any case
 * @param route the name of the route, empty if the service's own path prefix decided
 * @param rank the order in which calls keep capacity, zero for the most urgent
 * @param targetLatencyNanoseconds the time after arrival within which an answer is of full use, in nanoseconds
 */
public record CallTerms(
        String service,
        Method method,
        String path,
        boolean idempotent,
        int maximumAttempts,
        boolean hedged,
        boolean replayable,
        String key,
        long fingerprint,
        long arrivedAt,
        long deadline,
        String route,
        int rank,
        long targetLatencyNanoseconds) {}
