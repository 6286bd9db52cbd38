package org.chivecourse.coordination.fleet;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.publication.PublicationPoller;
import org.chivecourse.coordination.publication.PublicationRead;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.PublishedItem;

/** Decides when and how this gateway reads from the publisher, and what it reports to other gateways of that. */
final class PublisherReads {

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /**
     * The time after the first answer before which this gateway does not watch, in nanoseconds. Until then it may not
     * know the others that do.
     */
    private static final long FIRST_WATCH_DELAY_NANOSECONDS = 300_000_000L;

    /** The maximum size of an item whose change does not have to be followed by the next watch at once, in bytes. */
    private static final int MAXIMUM_SMALL_ITEM_BYTES = 1024;

    /** The pause after an answer with small changes, in which further ones collect, in nanoseconds. */
    private static final long CHANGE_PAUSE_NANOSECONDS = 150_000_000L;

    /** The same for all watchers but the first, which receive the changes from that one, in nanoseconds. */
    private static final long STANDBY_CHANGE_PAUSE_NANOSECONDS = 1_000_000_000L;

    /** The time within which a watch starts after its earliest time, in nanoseconds. */
    private static final long WATCH_START_SLACK_NANOSECONDS = 100_000_000L;

    /** The delay before a read is retried while enough others reach the publisher, in nanoseconds. */
    private static final long RELAXED_RETRY_DELAY_NANOSECONDS = 3_000_000_000L;

    /** The largest factor by which gateways retry more rarely than the first one while none reaches the publisher. */
    private static final int MAXIMUM_RETRY_FACTOR = 6;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The published items. */
    private final PublishedState publishedState;

    /** Schedules the calls that read from the publisher. */
    private final PublicationPoller poller = new PublicationPoller();

    /** The answers of the publisher to other gateways. */
    private final OtherAnswers otherAnswers = new OtherAnswers();

    /** The earliest time of the next watch, in nanoseconds. */
    private long nextWatchAt = Long.MIN_VALUE / 2;

    /** Whether the publisher has answered this gateway. */
    private boolean answered;

    /** The revision of the published items when this gateway last started to watch. */
    private long revisionAtLastWatch;

    /** Whether the publisher was reachable according to the last audit record; {@code true} before the first one. */
    private boolean reachableAtLastAudit = true;

    /**
     * Creates reads of which none has started.
     *
     * @param peers the other gateways of the fleet
     * @param publishedState the published items
     */
    PublisherReads(FleetPeers peers, PublishedState publishedState) {
        this.peers = peers;
        this.publishedState = publishedState;
    }

    /**
     * Times out the call in flight and starts the next one, if they are due.
     *
     * @param allowed whether this gateway may watch the publisher for others
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    void startDueCall(boolean allowed, long now, DecisionSink sink) {
        boolean due = allowed && now - nextWatchAt >= 0;
        poller.startDueCall(
                () -> due ? dueRead(now) : PublicationRead.NONE,
                () -> retryDelay(now),
                publishedState.revision(),
                now,
                sink);
    }

    /**
     * Returns the delay before a read is retried after more than one failure, in nanoseconds. While enough others reach
     * the publisher only this gateway's own way to it is in question, and while none does the first ones in rank order
     * find out when it is back.
     */
    private long retryDelay(long now) {
        if (PublicationWatcherElection.INSTANCE.enoughOthersWatch(peers, now)) {
            return RELAXED_RETRY_DELAY_NANOSECONDS;
        }
        int position = PublicationWatcherElection.INSTANCE.positionWithoutPublisher(peers, now);
        return PublicationPoller.LATER_RETRY_DELAY_NANOSECONDS * Math.min(MAXIMUM_RETRY_FACTOR, 1 + position);
    }

    /**
     * Postpones the next watch after the first answer of the publisher, and after one with small changes. Large ones,
     * such as a configuration, take long to spread, so that the next must not wait.
     *
     * @param changes the changes of the answer
     * @param now the current time in nanoseconds
     */
    private void postponeWatch(List<PublishedItem> changes, long now) {
        if (!answered) {
            answered = true;
            nextWatchAt = now + FIRST_WATCH_DELAY_NANOSECONDS;
        } else if (!changes.isEmpty() && changes.stream().allMatch(PublisherReads::isSmall)) {
            boolean first = PublicationWatcherElection.INSTANCE.position(peers, now) == 0;
            nextWatchAt = now + (first ? CHANGE_PAUSE_NANOSECONDS : STANDBY_CHANGE_PAUSE_NANOSECONDS);
        }
    }

    /** Returns how this gateway should read, {@link PublicationRead#NONE} if others do so. */
    private PublicationRead dueRead(long now) {
        if (PublicationWatcherElection.INSTANCE.isWatcher(peers, now)) {
            return dueWatch(now);
        }
        long sinceAnswer = publishedState.outageDetector().millisecondsSinceAnswer(now);
        return StandbyReaders.INSTANCE.isDue(peers, sinceAnswer, now) ? PublicationRead.ONCE : PublicationRead.NONE;
    }

    /**
     * Returns how this gateway should watch: midway between the answers to the first watcher, unless it is the first,
     * or changes have just been told to all and their spread is not to be loaded further.
     */
    private PublicationRead dueWatch(long now) {
        boolean changed = publishedState.revision() != revisionAtLastWatch;
        revisionAtLastWatch = publishedState.revision();
        return changed || PublicationWatcherElection.INSTANCE.position(peers, now) == 0
                ? PublicationRead.WATCH
                : PublicationRead.watchBetween(otherAnswers.millisecondsSince(now));
    }

    /** Returns whether a changed item is as small as the entry of a backend server. */
    private static boolean isSmall(PublishedItem item) {
        return item.removed() || item.value().length <= MAXIMUM_SMALL_ITEM_BYTES;
    }

    /**
     * Records the success of a call. The result of a call that was cancelled is ignored.
     *
     * @param call the number of the call
     * @param changes the changes that the answer holds
     * @param now the current time in nanoseconds
     * @return {@code true} if its result has to be applied
     */
    boolean completeCall(long call, List<PublishedItem> changes, long now) {
        boolean completed = poller.completeCall(call, now);
        if (completed) {
            postponeWatch(changes, now);
            publishedState.outageDetector().recordAnswer(now);
        }
        return completed;
    }

    /**
     * Records that a call failed.
     *
     * @param event the failure
     * @param now the current time in nanoseconds
     */
    void failCall(Event.PublicationFailed event, long now) {
        poller.failCall(event.call(), event.forgotten(), retryDelay(now), now);
    }

    /** Records what another gateway reports of the publisher. */
    void recordReport(FleetDigest.PublisherStatus status, long now) {
        if (status.lastAnswerAgeMilliseconds() < 0) {
            return;
        }
        long answeredAt = now - status.lastAnswerAgeMilliseconds() * NANOSECONDS_PER_MILLISECOND;
        publishedState.outageDetector().recordAnswer(answeredAt);
        otherAnswers.record(status, now);
    }

    /**
     * Returns what this gateway reports of the publisher. Where only bridges receive digests from other data centres,
     * that is the last answer of the publisher to any gateway, otherwise only the last answer to this one.
     */
    FleetDigest.PublisherStatus status(long now) {
        return new FleetDigest.PublisherStatus(
                publishedState.revision(),
                poller.publisherReachable(),
                (poller.inFlight() || pausing(now)) && poller.succeededRecently(now),
                peers.bridges().mustForward(peers)
                        ? publishedState.outageDetector().millisecondsSinceAnswer(now)
                        : poller.millisecondsSinceAnswer(now),
                publishedState.retainedConfigurationRevision());
    }

    /** Returns whether this gateway goes on to watch after a pause. */
    private boolean pausing(long now) {
        return answered
                && now - nextWatchAt < WATCH_START_SLACK_NANOSECONDS
                && PublicationWatcherElection.INSTANCE.isWatcher(peers, now);
    }

    /** Returns whether the publisher is considered reachable, as it is before the first read. */
    boolean reachable() {
        return poller.publisherReachable();
    }

    /** Writes an audit record when the publisher becomes unreachable and when it becomes reachable again. */
    void auditReachability(DecisionSink sink) {
        if (poller.publisherReachable() == reachableAtLastAudit) {
            return;
        }
        reachableAtLastAudit = poller.publisherReachable();
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.PUBLISHER,
                peers.self().name(),
                reachableAtLastAudit ? "lost" : "reached",
                reachableAtLastAudit ? "reached" : "lost",
                "reads of published items",
                publishedState.revision())));
    }
}
