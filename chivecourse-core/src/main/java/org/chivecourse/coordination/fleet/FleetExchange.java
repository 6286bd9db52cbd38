package org.chivecourse.coordination.fleet;

import java.util.List;
import org.chivecourse.coordination.call.ServiceRegister;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.fleet.DigestComposer.Content;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.poison.PoisonRegister;
import org.chivecourse.coordination.publication.PublicationFeed;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.state.fleet.Crash;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.publication.PublishedItem;

/**
 * Tells the other gateways of a fleet that finds itself what this one knows, and takes over what they know.
 *
 * <p>Gateways of the same data centre hear of each other several times a second, those of different ones about once a
 * second. Few gateways read from the publisher; they tell changes at once, and whoever misses one fetches it.
 */
public final class FleetExchange {

    /** The time for which a fetch of published items may take, in nanoseconds. */
    private static final long PULL_NANOSECONDS = 500_000_000L;

    /** The time for which a new gateway waits for published items that it has heard of, in nanoseconds. */
    private static final long CATCH_UP_NANOSECONDS = 1_500_000_000L;

    /** The largest size of published items in a digest, in bytes. */
    private static final int LARGEST_INLINE_BYTES = 800;

    /** The number of nanoseconds in a millisecond. */
    private static final long MILLISECOND = 1_000_000L;

    /** The number of nanoseconds in a second. */
    private static final long SECOND = 1_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Neighbours neighbours;

    /** What is published. */
    private final PublishedState published;

    /** The reading from the publisher. */
    private final PublicationFeed feed = new PublicationFeed();

    /** Composes digests. */
    private final DigestComposer composer;

    /** Sends digests when they are due. */
    private final DigestSchedule schedule;

    /** The services of the configuration in force. */
    private final ServiceRegister services;

    /** The requests that crash backend servers. */
    private final PoisonRegister poison;

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether there was an event. */
    private boolean started;

    /** The time of the last clean-up, in nanoseconds. */
    private long forgottenAt;

    /** The time of the last fetch, in nanoseconds. */
    private long pulledAt = Long.MIN_VALUE / 2;

    /** Whether this gateway is stopping. */
    private boolean stopping;

    /** Whether the publisher answered when it was last told. */
    private boolean reachedBefore = true;

    /**
     * Creates an exchange.
     *
     * @param settings what the core knows of its host
     * @param published what is published
     * @param services the services of the configuration in force
     * @param poison the requests that crash backend servers
     */
    public FleetExchange(
            HostSettings settings, PublishedState published, ServiceRegister services, PoisonRegister poison) {
        this.settings = settings;
        this.published = published;
        this.services = services;
        this.poison = poison;
        neighbours = new Neighbours(new Member(settings.name(), settings.fleet().address(), settings.dataCentre()));
        composer = new DigestComposer(settings, neighbours, poison);
        schedule = new DigestSchedule(settings, neighbours, services.sightings(), this::digest);
    }

    /**
     * Takes over other gateways to find the fleet by.
     *
     * @param addresses the addresses of some gateways, which may be out of date
     */
    public void seeds(List<String> addresses) {
        schedule.seeds(addresses);
    }

    /**
     * Tells the others that this gateway is stopping.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void stopping(long now, DecisionSink sink) {
        stopping = true;
        composer.stopping();
        DigestSchedule.tell(neighbours.live(now), digest(Content.NOTHING, now), now, sink);
    }

    /**
     * Sends what is due, and starts reads that are due.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void timePassed(long now, DecisionSink sink) {
        if (!started) {
            started = true;
            startedAt = now;
        }
        if (now - forgottenAt >= SECOND) {
            forgottenAt = now;
            neighbours.forget(now);
        }
        schedule.timePassed(now, sink);
        feed.timePassed(
                () -> !stopping && WatchElection.INSTANCE.watches(neighbours, now), published.revision(), now, sink);
        noteReached(now, sink);
        published.timePassed(now, sink);
    }

    /**
     * Records when the publisher stops answering and when it answers again.
     *
     * @param now the time in nanoseconds
     * @param sink receives the record
     */
    private void noteReached(long now, DecisionSink sink) {
        if (feed.reached() == reachedBefore) {
            return;
        }
        reachedBefore = feed.reached();
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.PUBLISHER,
                settings.name(),
                reachedBefore ? "lost" : "reached",
                reachedBefore ? "reached" : "lost",
                "reads of published items",
                published.revision())));
    }

    /**
     * Takes a digest over.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void heard(FleetDigest digest, long now, DecisionSink sink) {
        Neighbour sender = neighbours.hear(digest, now);
        if (sender == null) {
            return;
        }
        if (digest.replyRequested()) {
            DigestSchedule.tell(List.of(sender), digest(Content.REPLY, now), now, sink);
        }
        if (digest.publisherStatus().lastAnswerAgeMilliseconds() >= 0) {
            published.outages().answered(now - digest.publisherStatus().lastAnswerAgeMilliseconds() * MILLISECOND);
        }
        boolean near = neighbours.near(sender);
        takeChanges(digest, near, now, sink);
        for (Observation sighting : digest.observations()) {
            services.seen(sighting, now, sink);
            if (near) {
                services.sightings().addForFar(sighting);
            } else {
                services.sightings().addForNear(sighting);
            }
        }
        for (Crash crash : digest.crashes()) {
            poison.failed(crash.fingerprint(), crash.server(), true, now);
        }
        digest.blockedRequests()
                .forEach((fingerprint, seconds) -> poison.convict(fingerprint, now + seconds * SECOND, now));
    }

    /**
     * Takes published items from a digest, and fetches those that are missing.
     *
     * @param digest the digest
     * @param near whether its sender stands in the same data centre
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void takeChanges(FleetDigest digest, boolean near, long now, DecisionSink sink) {
        long before = published.revision();
        if (digest.changes() != null) {
            published.change(digest.changes(), digest.sender().name(), now, sink);
        }
        boolean passOn = Speakers.INSTANCE.passOn(neighbours) && RelayElection.INSTANCE.relays(neighbours, now);
        if (!near && published.revision() > before && passOn) {
            Content content = new Content(false, 0, List.of(), List.of(), digest.changes());
            DigestSchedule.tell(neighbours.liveNear(now), digest(content, now), now, sink);
        }
        boolean behind = digest.publisherStatus().revision() > published.revision();
        if (behind && now - pulledAt >= PULL_NANOSECONDS) {
            pulledAt = now;
            sink.decide(new Decision.PullPublication(
                    digest.sender().name(), digest.sender().address(), published.revision()));
        }
    }

    /**
     * Takes published items that were fetched from another gateway.
     *
     * @param event the items
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void pulled(Event.PublicationPulled event, long now, DecisionSink sink) {
        pullEnded();
        published.change(event.changes(), event.name(), now, sink);
    }

    /**
     * Notes that the fetch under way ended.
     */
    public void pullEnded() {
        pulledAt = Long.MIN_VALUE / 2;
    }

    /**
     * Takes all published items from the publisher.
     *
     * @param event the items
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void listed(Event.PublicationListed event, long now, DecisionSink sink) {
        if (!feed.answered(event.call(), now)) {
            return;
        }
        published.outages().answered(now);
        long before = published.revision();
        published.replace(event.items(), event.revision(), "publisher", now, sink);
        spread(before, now, sink);
    }

    /**
     * Takes changes from the publisher.
     *
     * @param event the changes
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void changed(Event.PublicationChanged event, long now, DecisionSink sink) {
        if (!feed.answered(event.call(), now)) {
            return;
        }
        published.outages().answered(now);
        long before = published.revision();
        published.change(
                new FleetDigest.Changes(event.after(), event.revision(), event.items()), "publisher", now, sink);
        spread(before, now, sink);
        timePassed(now, sink);
    }

    /**
     * Takes the failure of a read from the publisher.
     *
     * @param event the failure
     * @param now the time in nanoseconds
     */
    public void readFailed(Event.PublicationFailed event, long now) {
        feed.failed(event.call(), event.forgotten(), now);
    }

    /**
     * Tells all gateways at once of changes that this one has read from the publisher.
     *
     * @param before the revision that was known before
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void spread(long before, long now, DecisionSink sink) {
        if (published.revision() <= before || before == 0) {
            return;
        }
        FleetDigest.Changes changes = published.changesAfter(before);
        int bytes = 0;
        for (PublishedItem item : changes.items()) {
            bytes += item.key().length() + (item.removed() ? 0 : item.value().length);
        }
        boolean fits = bytes <= LARGEST_INLINE_BYTES && changes.after() > 0;
        Content content = new Content(false, 0, List.of(), List.of(), fits ? changes : null);
        DigestSchedule.tell(neighbours.live(now), digest(content, now), now, sink);
    }

    /**
     * Returns what this gateway tells of itself.
     *
     * @param content what the digest holds besides
     * @param now the time in nanoseconds
     * @return the digest
     */
    private FleetDigest digest(Content content, long now) {
        FleetDigest.PublisherStatus standing = new FleetDigest.PublisherStatus(
                published.revision(),
                feed.reached(),
                feed.reading() && feed.answeredRecently(now),
                Speakers.INSTANCE.passOn(neighbours)
                        ? published.outages().answeredMilliseconds(now)
                        : feed.answeredMilliseconds(now));
        return composer.digest(content, standing, now);
    }

    /**
     * Returns whether a new gateway has heard of published items that it may still get.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if it does not serve yet for that reason
     */
    public boolean behind(long now) {
        if (now - startedAt >= CATCH_UP_NANOSECONDS) {
            return false;
        }
        for (Neighbour neighbour : neighbours.live(now)) {
            if (neighbour.latest().publisherStatus().revision() > published.revision()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the other gateways.
     *
     * @return the neighbours
     */
    public Neighbours neighbours() {
        return neighbours;
    }
}
