package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.FleetDigest;

/**
 * Decides when published items that this gateway lacks are pulled, and from which other gateway.
 *
 * <p>Gateways that are behind ask different ones of those that have the items, first those of their own data centre, so
 * that no link carries more than a few copies. One pull is in flight, and a second one at another gateway if the first
 * takes long.
 */
final class PublicationPulls {

    /** The maximum number of pulls in flight. */
    private static final int MAXIMUM_PULLS = 2;

    /** The time after which a second pull may start beside the first, in nanoseconds. */
    private static final long PATIENCE_NANOSECONDS = 600_000_000L;

    /** The time after which a pull without a result is given up, in nanoseconds. */
    private static final long TIMEOUT_NANOSECONDS = 3_000_000_000L;

    /** The shortest time between a failed pull and the next one, in nanoseconds. */
    private static final long RETRY_DELAY_NANOSECONDS = 40_000_000L;

    /** The number of different delays after a failure, each longer by {@link #RETRY_DELAY_NANOSECONDS}. */
    private static final int RETRY_DELAYS = 3;

    /** The time for which a gateway that failed a pull is asked only if there is no other, in nanoseconds. */
    private static final long AVOIDANCE_NANOSECONDS = 1_000_000_000L;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The start times of the pulls in flight by the name of the other gateway's host, in nanoseconds. */
    private final Map<String, Long> startedAt = new HashMap<>();

    /** The times of the last failures by the name of the other gateway's host, in nanoseconds. */
    private final Map<String, Long> failedAt = new HashMap<>();

    /** The number of pulls that were started so far. */
    private int pullNumber;

    /** The time of the latest start of a pull, in nanoseconds. */
    private long lastStartedAt;

    /** The earliest time of the next pull, in nanoseconds. */
    private long nextAt = Long.MIN_VALUE / 2;

    /**
     * Creates pulls, none of which is in flight.
     *
     * @param peers the other gateways of the fleet
     */
    PublicationPulls(FleetPeers peers) {
        this.peers = peers;
    }

    /**
     * Starts a pull if one is due and a live gateway has what this one lacks.
     *
     * @param hasNews whether a gateway with a given status has what this one lacks
     * @param after the revision after which to ask for changes, zero to ask for all items
     * @param now the current time in nanoseconds
     * @param sink receives the decision
     * @return {@code true} if a pull was started
     */
    boolean startDue(Predicate<FleetDigest.PublisherStatus> hasNews, long after, long now, DecisionSink sink) {
        startedAt.values().removeIf(time -> now - time >= TIMEOUT_NANOSECONDS);
        boolean waits = !startedAt.isEmpty() && now - lastStartedAt < PATIENCE_NANOSECONDS;
        if (now - nextAt < 0 || waits || startedAt.size() >= MAXIMUM_PULLS) {
            return false;
        }
        FleetPeer source = chooseSource(hasNews, now);
        if (source == null) {
            return false;
        }
        startedAt.put(source.member().name(), now);
        lastStartedAt = now;
        pullNumber++;
        sink.decide(new Decision.PullPublication(
                source.member().name(), source.member().address(), after));
        return true;
    }

    /**
     * Records that a pull returned items.
     *
     * @param name the name of the other gateway's host
     */
    void complete(String name) {
        startedAt.remove(name);
        failedAt.remove(name);
    }

    /**
     * Records that a pull failed, or that the other gateway was busy.
     *
     * @param name the name of the other gateway's host
     * @param now the current time in nanoseconds
     */
    void fail(String name, long now) {
        if (startedAt.remove(name) == null) {
            return;
        }
        failedAt.values().removeIf(time -> now - time >= AVOIDANCE_NANOSECONDS);
        failedAt.put(name, now);
        nextAt = now + RETRY_DELAY_NANOSECONDS * (1 + spread(RETRY_DELAYS));
    }

    /** Returns a live gateway that has what this one lacks, {@code null} if there is none. */
    private FleetPeer chooseSource(Predicate<FleetDigest.PublisherStatus> hasNews, long now) {
        List<FleetPeer> sources = new ArrayList<>();
        for (FleetPeer peer : peers.live(now)) {
            boolean useful = hasNews.test(peer.latestDigest().publisherStatus());
            if (useful && !startedAt.containsKey(peer.member().name())) {
                sources.add(peer);
            }
        }
        List<FleetPeer> preferred = preferred(sources, now);
        return preferred.isEmpty() ? null : preferred.get(spread(preferred.size()));
    }

    /** Returns the sources that did not fail lately, those of this data centre if there are any; else all. */
    private List<FleetPeer> preferred(List<FleetPeer> sources, long now) {
        List<FleetPeer> usable = sources.stream()
                .filter(peer -> {
                    Long time = failedAt.get(peer.member().name());
                    return time == null || now - time >= AVOIDANCE_NANOSECONDS;
                })
                .toList();
        List<FleetPeer> local = usable.stream().filter(peers::isLocal).toList();
        if (!local.isEmpty()) {
            return local;
        }
        return usable.isEmpty() ? sources : usable;
    }

    /** Returns a number below a bound that differs between gateways and between pulls. */
    private int spread(int bound) {
        return Math.floorMod(PublicationWatcherElection.rank(peers.self().name() + ' ' + pullNumber), bound);
    }
}
