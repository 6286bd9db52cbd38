package org.chivecourse.coordination.fleet;

import java.util.List;

/** What disturbs the spread of a configuration in a simulated fleet. */
enum SpreadTrouble {
    /** Nothing else passes the links. */
    NONE,

    /** Requests take 60% of each link. */
    LINKS_TAKEN {
        @Override
        FleetLimits limits(FleetLimits quiet) {
            return quiet.withLinkBackground(0.6);
        }
    },

    /** Requests take 60% of each processor. */
    PROCESSORS_TAKEN {
        @Override
        FleetLimits limits(FleetLimits quiet) {
            return quiet.withProcessorBackground(0.6);
        }
    },

    /** One in twenty digests is lost. */
    DIGESTS_LOST {
        @Override
        void begin(ConfigurationSpread spread) {
            spread.network().setDigestLoss(0.05);
        }
    },

    /** The gateways that watch the publisher are ten times slower. */
    SLOW_WATCHERS {
        @Override
        void begin(ConfigurationSpread spread) {
            spread.awaitWatchers().forEach(watcher -> spread.links().slowDown(watcher, 10));
        }
    },

    /** A gateway that watches the publisher ends soon after the change. */
    WATCHER_ENDS {
        @Override
        void afterChange(ConfigurationSpread spread, List<Integer> watchers) {
            spread.network().advance(100);
            spread.network().kill(watchers.get(0));
        }
    };

    /** Returns the limits of the fleet. */
    FleetLimits limits(FleetLimits quiet) {
        return quiet;
    }

    /** Begins before the change. */
    void begin(ConfigurationSpread spread) {}

    /** Happens after the change. */
    void afterChange(ConfigurationSpread spread, List<Integer> watchers) {}
}
