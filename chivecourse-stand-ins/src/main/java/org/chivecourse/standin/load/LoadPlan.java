package org.chivecourse.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * The load to generate.
 *
 * @param targets the addresses to send to
 * @param readinessEndpoints the addresses of the targets' readiness endpoints in the same order, empty to send to all always
 * @param paths the paths of services, each preceded by a slash
 * @param requestsPerSecond the number of requests a second over all targets
 * @param duration the time for which requests start
 * @param warmUp the time at the start whose answers are checked and not timed
 * @param writePercent the share of non-idempotent requests in percent
 * @param timeout the time after which a request counts as failed
 * @param seed the seed of arrivals
 * @param identifierPrefix the start of the requests' identifiers
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

    /**
     * Creates a plan whose lists are copied.
     */
    public LoadPlan {
        targets = List.copyOf(targets);
        readinessEndpoints = List.copyOf(readinessEndpoints);
        paths = List.copyOf(paths);
    }
}
