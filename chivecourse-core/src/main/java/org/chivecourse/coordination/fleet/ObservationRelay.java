package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.WarmUpReport;

/**
 * Relays the observations of a data centre to one gateway of each other one that needs them. A gateway that is not the
 * relay discards them, since the relay has received them as well.
 */
final class ObservationRelay {

    /** The interval at which observations are relayed to few other data centres, in nanoseconds. */
    static final long INTERVAL_NANOSECONDS = 50_000_000L;

    /** The number of other data centres beyond which observations are relayed more rarely. */
    private static final int FEW_DATA_CENTRES = 2;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The observations that other gateways have not received yet. */
    private final ObservationOutbox observations;

    /** The warm-ups of backend servers, which all data centres need to know. */
    private final WarmUpExchange warmUps;

    /** Determines which observations other data centres need. */
    private final CrossingExchange crossings;

    /** Composes the digests to send. */
    private final DigestSchedule.Composer composer;

    /** The time at which observations were last relayed or discarded, in nanoseconds. */
    private long lastRelayAt;

    /** Creates a relay that has not relayed anything. */
    ObservationRelay(
            FleetPeers peers,
            ObservationOutbox observations,
            WarmUpExchange warmUps,
            CrossingExchange crossings,
            DigestSchedule.Composer composer) {
        this.peers = peers;
        this.observations = observations;
        this.warmUps = warmUps;
        this.crossings = crossings;
        this.composer = composer;
    }

    /**
     * Relays or discards pending observations if that is due. The interval grows in proportion to the number of other
     * data centres, so that the number of datagrams that a relay sends does not.
     *
     * @param interval the interval with {@link #FEW_DATA_CENTRES} other data centres or fewer, in nanoseconds
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void relayIfDue(long interval, long now, DecisionSink sink) {
        if (now - lastRelayAt < interval) {
            return;
        }
        List<FleetPeer> recipients = RelayElection.INSTANCE.recipients(peers, now);
        if (now - lastRelayAt >= interval * Math.max(FEW_DATA_CENTRES, recipients.size()) / FEW_DATA_CENTRES) {
            relay(recipients, now, sink);
        }
    }

    /**
     * Asks the other data centres for what this one has begun to need, without waiting for the next digest.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void askIfDue(long now, DecisionSink sink) {
        if (crossings.mustAsk(now)) {
            List<FleetPeer> recipients = RelayElection.INSTANCE.recipients(peers, now);
            DigestSchedule.send(
                    recipients, crossings.completeRemote(composer.compose(Content.STATUS_ONLY, now), now), now, sink);
        }
    }

    /** Relays pending observations to the data centres that need them, or discards them. */
    private void relay(List<FleetPeer> recipients, long now, DecisionSink sink) {
        lastRelayAt = now;
        if (!RelayElection.INSTANCE.isRelay(peers, now)) {
            observations.discardRemote();
            warmUps.discardRemote();
            return;
        }
        List<Observation> observed = observations.pollRemote();
        List<WarmUpReport> warmUpReports = warmUpReports(observed, now);
        if (crossings.enabled()) {
            relayByNeed(recipients, observed, warmUpReports, now, sink);
        } else if (!recipients.isEmpty() && (!observed.isEmpty() || !warmUpReports.isEmpty())) {
            DigestSchedule.send(recipients, compose(observed, warmUpReports, now), now, sink);
        }
    }

    /** Relays to each data centre the observations that it needs, and the reports of warm-ups to all. */
    private void relayByNeed(
            List<FleetPeer> recipients,
            List<Observation> observed,
            List<WarmUpReport> warmUpReports,
            long now,
            DecisionSink sink) {
        Map<List<Observation>, List<FleetPeer>> recipientsByContent = new LinkedHashMap<>();
        for (FleetPeer recipient : recipients) {
            String dataCentre = recipient.member().dataCentre();
            List<Observation> needed = observed.stream()
                    .filter(observation -> crossings.neededBy(dataCentre, observation, now))
                    .toList();
            recipientsByContent
                    .computeIfAbsent(needed, key -> new ArrayList<>())
                    .add(recipient);
        }
        if (warmUpReports.isEmpty()) {
            recipientsByContent.remove(List.<Observation>of());
        }
        recipientsByContent.forEach((needed, others) ->
                sink.decide(new Decision.SendFleetDigest(addresses(others), compose(needed, warmUpReports, now))));
    }

    /** Composes a digest of observations and of reports of warm-ups. */
    private FleetDigest compose(List<Observation> observed, List<WarmUpReport> warmUpReports, long now) {
        return composer.compose(new Content(false, 0, observed, List.of(), 0, List.of(), warmUpReports, null), now);
    }

    /** Returns the reports of warm-ups to relay, which are repeated beside observations for all data centres. */
    private List<WarmUpReport> warmUpReports(List<Observation> observed, long now) {
        boolean repeated = !observed.isEmpty() && !crossings.enabled();
        return repeated || warmUps.hasRemote() ? warmUps.pollRemote(now) : List.of();
    }

    /** Returns the addresses of gateways, whose next regular digest stays due: it holds what a relay does not. */
    private static List<String> addresses(List<FleetPeer> others) {
        return others.stream().map(peer -> peer.member().address()).toList();
    }
}
