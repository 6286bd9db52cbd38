package org.chivecourse.coordination.fleet;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Prints tables of how configurations spread. A method runs only where it is named, and checks nothing. */
class ConfigurationSpreadReport {

    private static final long OBSERVED_MILLISECONDS = 3000;

    @Test
    void smallFleet() {
        print(SpreadFleet.SMALL);
    }

    @Test
    void grownFleet() {
        print(SpreadFleet.GROWN);
    }

    @Test
    void largeFleet() {
        print(SpreadFleet.LARGE);
    }

    private static void print(SpreadFleet fleet) {
        System.out.println(SpreadFigures.HEADING);
        for (SpreadTrouble trouble : SpreadTrouble.values()) {
            print(fleet, trouble, ConfigurationSpread.SMALL_ROUTES);
            print(fleet, trouble, ConfigurationSpread.LARGE_ROUTES);
        }
    }

    private static void print(SpreadFleet fleet, SpreadTrouble trouble, int routes) {
        ConfigurationSpread spread =
                new ConfigurationSpread(fleet.gateways(), trouble.limits(FleetLimits.quiet(fleet.dataCentres())));
        trouble.begin(spread);
        List<Integer> watchers = spread.awaitWatchers();
        spread.publish(routes);
        trouble.afterChange(spread, watchers);
        spread.network().advance(OBSERVED_MILLISECONDS);
        System.out.println(spread.figures(OBSERVED_MILLISECONDS).row(trouble.toString()));
    }
}
