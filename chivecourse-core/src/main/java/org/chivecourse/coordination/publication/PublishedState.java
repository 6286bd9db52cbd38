package org.chivecourse.coordination.publication;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.registry.ServerRegistry;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.PublicationTable;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RegisteredServer;

/** What is published, decoded into the registry of backend servers and the configuration. */
public final class PublishedState {

    /** The number of announcements that end together without a word of leaving from which on they are doubted. */
    private static final int MINIMUM_SUSPICIOUS_REMOVALS = 2;

    /**
     * The time for which backend servers are kept whose announcements ended together, in nanoseconds: less than the
     * time within which a leaving one must get no new work.
     */
    private static final long SUSPICIOUS_REMOVAL_GRACE_NANOSECONDS = 1_300_000_000L;

    /** The published items. */
    private final PublicationTable table = new PublicationTable();

    /** Decodes items. */
    private final PublicationDecoder decoder;

    /** The backend servers that announce themselves. */
    private final ServerRegistry registry = new ServerRegistry();

    /** Tells outages of the publisher. */
    private final OutageDetector outageDetector = new OutageDetector();

    /** Receives published configurations. */
    private final Listener listener;

    /**
     * Creates a state in which nothing is published.
     *
     * @param decoder decodes items
     * @param listener receives published configurations and hears of changed backend servers
     */
    public PublishedState(PublicationDecoder decoder, Listener listener) {
        this.decoder = decoder;
        this.listener = listener;
    }

    /**
     * Takes all items that were published at a revision.
     *
     * @param items the items
     * @param revision the revision
     * @param source where they come from
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void replace(List<PublishedItem> items, long revision, String source, long now, DecisionSink sink) {
        applyItems(table.replaceAll(items, revision), source, now, sink);
    }

    /**
     * Takes changes of published items.
     *
     * @param changes the changes
     * @param source where they come from
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     * @return {@code false} if changes before them are missing
     */
    public boolean applyChanges(FleetDigest.Changes changes, String source, long now, DecisionSink sink) {
        if (changes.after() == 0) {
            replace(changes.items(), changes.revision(), source, now, sink);
            return true;
        }
        List<PublishedItem> changed = table.applyChanges(changes.items(), changes.after(), changes.revision());
        if (changed == null) {
            return false;
        }
        applyItems(changed, source, now, sink);
        return true;
    }

    /**
     * Applies changed items.
     *
     * @param changed the items and removals
     * @param source where they come from
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    private void applyItems(List<PublishedItem> changed, String source, long now, DecisionSink sink) {
        boolean serversChanged = false;
        long keepUntil = keepUntil(changed, now);
        for (PublishedItem item : changed) {
            serversChanged |= applyItem(item, keepUntil, source, now, sink);
        }
        if (serversChanged) {
            listener.onServersChanged(now, sink);
        }
    }

    /**
     * Returns until when backend servers are kept whose announcements end now: for the time of their return after an
     * outage, and for less if several end together that did not say that they leave, since that may be an outage that
     * was too short to be noticed.
     *
     * @param changed the changed items
     * @param now the time in nanoseconds
     * @return the present time or a later one
     */
    private long keepUntil(List<PublishedItem> changed, long now) {
        int unexpectedRemovals = 0;
        for (PublishedItem item : changed) {
            unexpectedRemovals += item.removed() && registry.inService(item.key()) ? 1 : 0;
        }
        long keepUntil = outageDetector.keepUntil(now);
        return unexpectedRemovals >= MINIMUM_SUSPICIOUS_REMOVALS
                ? Math.max(keepUntil, now + SUSPICIOUS_REMOVAL_GRACE_NANOSECONDS)
                : keepUntil;
    }

    /**
     * Applies a changed item.
     *
     * @param item the item or removal
     * @param keepUntil until when backend servers are kept whose announcements end
     * @param source where it comes from
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     * @return whether the backend servers changed
     */
    private boolean applyItem(PublishedItem item, long keepUntil, String source, long now, DecisionSink sink) {
        if (item.removed()) {
            return withdrawServer(item, keepUntil, source, now, sink);
        }
        Publication publication = decoder.decode(item);
        if (publication instanceof Publication.ServerAnnouncement server) {
            return announceServer(item, server.server(), source, sink);
        }
        if (publication instanceof Publication.PublishedConfiguration configuration) {
            listener.onConfigurationPublished(configuration, source, now, sink);
            return false;
        }
        if (publication instanceof Publication.Unreadable unreadable) {
            sink.decide(auditChange(
                    Decision.Subject.PUBLISHED_ITEM, item.key(), "unreadable", unreadable.reason(), item.revision()));
            return registry.withdraw(item.key(), now, now);
        }
        return false;
    }

    /**
     * Applies the announcement of a backend server.
     *
     * @param item the item
     * @param server the backend server
     * @param source where it comes from
     * @param sink receives the decisions that follow
     * @return whether the backend servers changed
     */
    private boolean announceServer(PublishedItem item, RegisteredServer server, String source, DecisionSink sink) {
        if (!registry.announce(item.key(), server)) {
            return false;
        }
        String state = (server.leaving() ? "leaving" : "ready") + " " + server.service() + " " + server.address()
                + " incarnation " + server.incarnation();
        sink.decide(auditChange(Decision.Subject.SERVER_REGISTERED, server.identity(), state, source, item.revision()));
        return true;
    }

    /**
     * Applies the end of an announcement.
     *
     * @param item the removal
     * @param keepUntil until when the backend server is kept
     * @param source where it comes from
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     * @return whether the backend servers changed
     */
    private boolean withdrawServer(PublishedItem item, long keepUntil, String source, long now, DecisionSink sink) {
        boolean changed = registry.withdraw(item.key(), keepUntil, now);
        boolean kept = keepUntil - now > 0;
        sink.decide(auditChange(
                Decision.Subject.SERVER_REGISTERED,
                item.key(),
                kept ? "kept after an outage" : "gone",
                source,
                item.revision()));
        return changed;
    }

    /**
     * Creates the audit record of a change.
     *
     * @param subject what changed
     * @param name the name of the thing that changed
     * @param to the value now
     * @param cause why it changed
     * @param revision the revision of the item
     * @return the decision
     */
    private static Decision auditChange(Decision.Subject subject, String name, String to, String cause, long revision) {
        return new Decision.Audit(new Decision.Change(subject, name, "", to, cause, revision));
    }

    /**
     * Takes out backend servers that were kept after an outage and have not returned.
     *
     * @param now the time in nanoseconds
     * @param sink receives the decisions that follow
     */
    public void removeExpiredServers(long now, DecisionSink sink) {
        if (registry.removeExpired(now)) {
            sink.decide(auditChange(
                    Decision.Subject.SERVER_REGISTERED, "", "gone", "did not return after an outage", revision()));
            listener.onServersChanged(now, sink);
        }
    }

    /**
     * Returns the changes after a revision for another gateway.
     *
     * @param after the revision
     * @return the changes, or all items if the changes are not known any more
     */
    public FleetDigest.Changes changesAfter(long after) {
        List<PublishedItem> changes = after > table.revision() ? null : table.changesAfter(after);
        return changes == null
                ? new FleetDigest.Changes(0, table.revision(), table.publishedItems())
                : new FleetDigest.Changes(after, table.revision(), changes);
    }

    /**
     * Returns the revision up to which every item is known.
     *
     * @return the revision, zero if nothing is known
     */
    public long revision() {
        return table.revision();
    }

    /**
     * Returns the backend servers that announce themselves.
     *
     * @return the registry
     */
    public ServerRegistry registry() {
        return registry;
    }

    /**
     * Returns what tells outages of the publisher.
     *
     * @return the watch
     */
    public OutageDetector outageDetector() {
        return outageDetector;
    }

    /** Receives what is published. */
    public interface Listener {

        /**
         * Receives a configuration.
         *
         * @param configuration the configuration
         * @param source where it comes from
         * @param now the time in nanoseconds
         * @param sink receives the decisions that follow
         */
        void onConfigurationPublished(
                Publication.PublishedConfiguration configuration, String source, long now, DecisionSink sink);

        /**
         * Hears that the backend servers changed.
         *
         * @param now the time in nanoseconds
         * @param sink receives the decisions that follow
         */
        void onServersChanged(long now, DecisionSink sink);
    }
}
