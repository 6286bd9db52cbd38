package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.chivecourse.coordination.fleet.CrashingRequestSimulation.Disruption;

/** A simulation of crashing requests, and what happens beside them. */
final class CrashingRequestScene {

    /** The number of sends by undisturbed gateways that the platform allows once a crashing request is known. */
    private static final int ALLOWED_LATE_SENDS = 3;

    private final long seed;

    final CrashingRequestSimulation simulation;

    boolean idempotent = true;

    int crashingRequests = 2;

    Disruption disruption = elapsed -> {};

    CrashingRequestScene(int hosts, int servers, long seed) {
        this.seed = seed;
        simulation = new CrashingRequestSimulation(hosts, servers, seed);
    }

    /** Lets other backend servers end at an interval while the scene is not older than a time. */
    void endOtherServers(int count, long intervalMilliseconds, long untilMilliseconds) {
        disruption = elapsed -> {
            if (elapsed <= untilMilliseconds && elapsed % intervalMilliseconds == 100) {
                simulation.endOtherServers(count);
            }
        };
    }

    /** Runs the scene and asserts that each crashing request is recognized in time and no ordinary one blocked. */
    void assertRecognized(long milliseconds) {
        simulation.run(crashingRequests, idempotent, milliseconds, disruption);
        String reason =
                "seed " + seed + ", servers ended " + simulation.serversEnded() + ", late " + simulation.lateSends();
        assertThat(reason, simulation.serversEnded(), hasItem(greaterThanOrEqualTo(2)));
        assertThat(reason, simulation.lateSends(), everyItem(lessThanOrEqualTo(ALLOWED_LATE_SENDS)));
        assertThat(reason + ", ordinary requests blocked", simulation.ordinaryBlocked, equalTo(0));
    }
}
