package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.state.fleet.FleetDigest;
import org.junit.jupiter.api.Test;

/** Guards against 404 for a route that a newer configuration, which other gateways have, may contain. */
class OutdatedConfigurationTest {

    private static final String HOST = FleetNetwork.name(3);

    private long call;

    /** Lets a gateway hear from another one that has newer items and never sends them. */
    private static void announceNewerItems(FleetNetwork network) {
        FleetDigest latest = network.core(3).fleetExchange().peers().all().stream()
                .map(FleetPeer::latestDigest)
                .filter(digest -> digest.sender().name().equals(FleetNetwork.name(6)))
                .findFirst()
                .orElseThrow();
        FleetDigest.PublisherStatus known = latest.publisherStatus();
        network.handle(
                HOST,
                new Event.FleetDigestArrived(new FleetDigest(
                        latest.sender(),
                        latest.incarnation(),
                        latest.sequence() + 1_000_000,
                        false,
                        false,
                        new FleetDigest.PublisherStatus(
                                known.revision() + 10, true, false, known.lastAnswerAgeMilliseconds()),
                        latest.members(),
                        latest.observations(),
                        latest.crashes(),
                        latest.answeredRequests(),
                        latest.blockedRequests(),
                        null,
                        latest.fleetSize(),
                        latest.dataCentreSize(),
                        latest.limitReports(),
                        latest.warmUps(),
                        latest.forwardingAddress())));
    }

    private Decision.Refusal refusalOfUnknownRoute(FleetNetwork network) {
        Arrival arrival = new Arrival(Method.GET, "/added/1", 0, 0, true, "", -1, 7, "jobs.example");
        return network.handle(HOST, new Event.CallArrived(++call, arrival)).stream()
                .filter(Decision.Refuse.class::isInstance)
                .map(decision -> ((Decision.Refuse) decision).refusal())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void tellsCallersOfUnknownRouteToReturnWhileNewerConfigurationIsRead() {
        FleetNetwork network = FleetExchangeTest.startedFleet();
        announceNewerItems(network);
        Decision.Refusal refusal = refusalOfUnknownRoute(network);
        assertThat(refusal.reason(), equalTo(Reason.OUTDATED_CONFIGURATION));
        assertThat(refusal.outcome(), equalTo(Outcome.NOT_RUN));
        assertThat(refusal.retryAfterMilliseconds(), greaterThan(0L));
    }

    /** A gateway that nobody sends the newer items must not refuse wrong requests as if they were proper for ever. */
    @Test
    void refusesUnknownRouteForGoodOnceNewerItemsDoNotCome() {
        FleetNetwork network = FleetExchangeTest.startedFleet();
        announceNewerItems(network);
        network.advance(6000);
        assertThat(refusalOfUnknownRoute(network).reason(), equalTo(Reason.NO_SERVICE));
    }

    @Test
    void refusesUnknownRouteForGoodWhileNothingNewerIsKnown() {
        FleetNetwork network = FleetExchangeTest.startedFleet();
        assertThat(refusalOfUnknownRoute(network).reason(), equalTo(Reason.NO_SERVICE));
    }
}
