package org.chivecourse.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * Describes the load to generate.
 *
 * @param targets the addresses that requests are sent to
 * @param readinessEndpoints the addresses of the targets' readiness endpoints in the same order, empty to send to all
 *     targets at all times
 * @param paths the path prefixes of services, each with a leading slash, used in turn
 * @param requestsPerSecond the mean number of requests a second over all targets
 * @param duration the time during which requests are started
 * @param warmUp the time at the start whose answers are verified but not included in the latencies
 * @param writePercent the share of non-idempotent requests in percent
 * @param timeout the time after which a request without a complete answer counts as cut
 * @param seed the seed of arrival times and of the choice of non-idempotent requests
 * @param identifierPrefix the prefix of request identifiers, followed by a hyphen and the number of the request
 */
public record LoadPlan(
        List<String> targets,
        List<String> readinessEndpoints,
        List<String> paths,
        double requestsPerSecond,
        Duration duration,
        Duration warmUp,
        int writePercent,
        Duration timeout,
        long seed,
        String identifierPrefix) {

    /** Creates a plan with copies of the lists. */
    public LoadPlan {
        targets = List.copyOf(targets);
        readinessEndpoints = List.copyOf(readinessEndpoints);
        paths = List.copyOf(paths);
    }
}
