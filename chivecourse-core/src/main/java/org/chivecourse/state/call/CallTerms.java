package org.chivecourse.state.call;

import org.chivecourse.configuration.model.Method;

/**
 * The properties of a call that do not change, from its request and the configuration that was in force on its arrival.
 *
 * @param service the name of the service
 * @param method the method of the request
 * @param path the path of the request without its query
 * @param idempotent whether the request may run more than once
 * @param maximumAttempts the maximum number of times that the request is sent
 * @param hedged whether a hedge may be sent while the first attempt is unanswered
 * @param replayable whether the request's body can be sent again
 * @param key the idempotency key, empty if the caller sent none
 * @param fingerprint a hash that duplicates of the request share
 * @param firstSentAt the estimated time at which the caller first sent the request, in nanoseconds
 * @param deadline the time in nanoseconds by which the caller must have received an answer
 * @param route the name of the route, empty if the service's own path prefix matched
 * @param rank the rank by which calls compete for capacity, zero for the most urgent
 * @param targetLatencyNanoseconds the time after that within which an answer has its full value, in nanoseconds
 * @param forwarded whether another gateway forwarded the call, so that this one does not forward it again
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
        long firstSentAt,
        long deadline,
        String route,
        int rank,
        long targetLatencyNanoseconds,
        boolean forwarded) {}
