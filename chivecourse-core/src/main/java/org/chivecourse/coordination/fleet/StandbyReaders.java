package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The gateways that read from the publisher when those that watch it seem to have lost it. A watch that was lost
 * without a sign is noticed only when it times out, which is too late for its changes.
 *
 * <p>The readers are the first bridges in the order by which watchers are elected, the watchers among them. Each reads
 * when the publisher has answered none of them for a while, later ones a little later, so that mostly the first one
 * does. They tell each other of each answer.
 */
enum StandbyReaders {
    /** The only instance. */
    INSTANCE;

    /** The number of readers. */
    private static final int READER_COUNT = 7;

    /** The time after the publisher's last answer after which the first reader reads, in milliseconds. */
    private static final long FIRST_READ_MILLISECONDS = 1600;

    /** The time between two readers, in milliseconds. */
    private static final long READ_STEP_MILLISECONDS = 50;

    /**
     * Returns whether this gateway is due to read.
     *
     * @param peers the other gateways of the fleet
     * @param millisecondsSinceAnswer the time since the publisher's last answer to any gateway, negative if there was
     *     none
     * @param now the current time in nanoseconds
     * @return {@code true} if the readers before this one should have had an answer by now
     */
    boolean isDue(FleetPeers peers, long millisecondsSinceAnswer, long now) {
        if (millisecondsSinceAnswer < FIRST_READ_MILLISECONDS
                || !peers.bridges().isBridge(peers, now)) {
            return false;
        }
        int position = PublicationWatcherElection.INSTANCE.position(peers, now);
        return position < READER_COUNT
                && millisecondsSinceAnswer >= FIRST_READ_MILLISECONDS + position * READ_STEP_MILLISECONDS;
    }

    /**
     * Returns the other readers, if this gateway is one.
     *
     * @param peers the other gateways of the fleet
     * @param now the current time in nanoseconds
     * @return the readers, empty if this gateway is none
     */
    List<FleetPeer> others(FleetPeers peers, long now) {
        boolean reader = peers.bridges().isBridge(peers, now)
                && PublicationWatcherElection.INSTANCE.position(peers, now) < READER_COUNT;
        if (!reader) {
            return List.of();
        }
        List<FleetPeer> reaching = new ArrayList<>();
        for (FleetPeer peer : peers.live(now)) {
            if (PublicationWatcherElection.reachesPublisher(peer)) {
                reaching.add(peer);
            }
        }
        reaching.sort(Comparator.comparingInt(
                peer -> PublicationWatcherElection.rank(peer.member().name())));
        return reaching.subList(0, Math.min(READER_COUNT - 1, reaching.size()));
    }
}
