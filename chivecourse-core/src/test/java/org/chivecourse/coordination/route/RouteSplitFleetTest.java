package org.chivecourse.coordination.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Discovery;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.model.ServiceShare;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.FleetSettings;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RegisteredServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays a split over a fleet whose gateways each see a few requests between two starts. Guards against gateways that
 * all begin with the same service, and against requests that move to the other one when theirs is full.
 */
class RouteSplitFleetTest {

    private static final int GATEWAYS = 62;

    private static final int STARTS = 3;

    /** The bound that the users set for the shares of all gateways together. */
    private static final double MAXIMUM_DEVIATION = 0.1;

    private static final long NOW = 1_000_000_000L;

    private static final long PROBE_NANOSECONDS = 100_000_000L;

    private int toFirst;

    private int toSecond;

    private long calls;

    private void replay(int firstWeight, int secondWeight, int slotsOfSecond, int requestsPerStart) {
        for (int number = 0; number < GATEWAYS * STARTS; number++) {
            HostCore core = start(number, firstWeight, secondWeight, slotsOfSecond);
            for (int request = 0; request < requestsPerStart; request++) {
                arrive(core);
            }
        }
    }

    private static HostCore start(int number, int firstWeight, int secondWeight, int slotsOfSecond) {
        FleetSettings fleet =
                new FleetSettings("10.0.0.1:7000", List.of(), FleetSettings.RetryLimits.DEFAULT, PROBE_NANOSECONDS);
        HostSettings settings = new HostSettings(
                "host-" + number,
                "a",
                GATEWAYS,
                true,
                1,
                HostSettings.KeyLimits.DEFAULT,
                ChoicePolicy.EARLIEST_FINISH,
                1000,
                fleet);
        HostCore core = new HostCore(settings, new SplittableRandom(number), item -> switch (item.key()) {
            case "x", "y" -> new Publication.ServerAnnouncement(server(item.key(), slotsOfSecond));
            default -> new Publication.PublishedConfiguration(configuration(firstWeight, secondWeight));
        });
        List<PublishedItem> items = new ArrayList<>();
        for (String key : List.of("configuration", "x", "y")) {
            items.add(new PublishedItem(key, 1, new byte[0]));
        }
        core.handle(new Event.TimePassed(), NOW, decision -> {});
        core.handle(new Event.PublicationListed(1, items, 1), NOW, decision -> {});
        return core;
    }

    private static RegisteredServer server(String name, int slotsOfSecond) {
        return new RegisteredServer(
                name, 1, 1, name, "10.0.0.9:80", "a", "v1", name.equals("x") ? 1000 : slotsOfSecond, false, 0);
    }

    private static LoadedConfiguration configuration(int firstWeight, int secondWeight) {
        Configuration configuration = Configuration.revision(1)
                .service(Service.named("x").discovery(Discovery.DEFAULT))
                .service(Service.named("y").discovery(Discovery.DEFAULT))
                .callerRoute(CallerRoute.of("r", "h", "/r/", "x")
                        .split(List.of(new ServiceShare("x", firstWeight), new ServiceShare("y", secondWeight))));
        try {
            return new ConfigurationReader().read("test", new ConfigurationWriter().printUnchecked(configuration));
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    private void arrive(HostCore core) {
        long call = ++calls;
        Arrival arrival = new Arrival(Method.GET, "/r/1", 0, 0, true, "", -1, call, "h");
        core.handle(new Event.CallArrived(call, arrival), NOW, decision -> {
            if (decision instanceof Decision.Send send) {
                toFirst += send.address().equals("x") ? 1 : 0;
                toSecond += send.address().equals("y") ? 1 : 0;
            }
        });
    }

    @ParameterizedTest
    @CsvSource({"50, 50, 1", "50, 50, 3", "75, 25, 1", "75, 25, 2", "10, 90, 1", "10, 90, 4", "333, 667, 2"})
    void fleetOfGatewaysThatSeeFewRequestsSplitsByWeight(int firstWeight, int secondWeight, int requestsPerStart) {
        replay(firstWeight, secondWeight, 1000, requestsPerStart);
        assertThat(toFirst + toSecond, equalTo(GATEWAYS * STARTS * requestsPerStart));
        double expected = (double) firstWeight / (firstWeight + secondWeight);
        assertThat((double) toFirst / calls, closeTo(expected, MAXIMUM_DEVIATION));
    }

    /** What finds no room waits or is refused, so that the other service gets no more than its share. */
    @ParameterizedTest
    @CsvSource({"50, 50", "75, 25", "10, 90"})
    void serviceWithRoomGetsNoMoreThanItsShareWhileTheOtherIsFull(int firstWeight, int secondWeight) {
        replay(firstWeight, secondWeight, 1, 12);
        assertThat((double) (calls - toFirst - toSecond) / calls, greaterThan(MAXIMUM_DEVIATION));
        double expected = (double) firstWeight / (firstWeight + secondWeight);
        assertThat((double) toFirst / calls, closeTo(expected, MAXIMUM_DEVIATION));
    }
}
