package org.chivecourse.coordination.publication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.evacuation.EvacuationOrigin;
import org.chivecourse.coordination.evacuation.EvacuationRequest;
import org.chivecourse.coordination.evacuation.Evacuations;
import org.chivecourse.coordination.registry.ServerRegistry;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.ItemDifference;
import org.chivecourse.state.publication.PublicationRevision;
import org.chivecourse.state.publication.PublicationTable;
import org.chivecourse.state.publication.PublishedItem;

/** The published items, decoded into the registry of backend servers and the configuration. */
public final class PublishedState {

    /** The published items by key. */
    private final PublicationTable table = new PublicationTable();

    /** Decodes published items. */
    private final PublicationDecoder decoder;

    /** The backend servers that announce themselves. */
    private final AnnouncedServers servers = new AnnouncedServers();

    /** The data centres whose backend servers get no requests. */
    private final Evacuations evacuations = new Evacuations();

    /** The highest configuration that was published. */
    private final AcceptedConfiguration acceptedConfiguration = new AcceptedConfiguration();

    /** Receives published configurations and changes of backend servers. */
    private final Listener listener;

    /** The number of times that the publisher was found to be in a later epoch. */
    private int epochChanges;

    /**
     * Creates a state without published items.
     *
     * @param decoder decodes published items
     * @param listener receives published configurations and changes of backend servers
     */
    public PublishedState(PublicationDecoder decoder, Listener listener) {
        this.decoder = decoder;
        this.listener = listener;
    }

    /**
     * Replaces all items by those that were published at a revision.
     *
     * @param items the items
     * @param revision the revision
     * @param source the origin of the items, for the audit log: the publisher or the name of a gateway
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void replace(List<PublishedItem> items, long revision, String source, long now, DecisionSink sink) {
        long previousRevision = table.revision();
        List<PublishedItem> changed = table.replaceAll(items, revision);
        boolean restored = previousRevision > 0
                && PublicationRevision.epoch(revision) > PublicationRevision.epoch(previousRevision);
        if (restored) {
            epochChanges++;
            servers.outageDetector().recordRestore(now);
        }
        applyItems(changed, restored, source, now, sink);
        if (restored) {
            auditEpochChange(previousRevision, changed, source, sink);
        }
    }

    /**
     * Records that the publisher was restored from a copy.
     *
     * @param previousRevision the last revision of the earlier epoch that was known
     * @param changed the items that differ from those of the earlier epoch, including removals
     * @param source the origin of the items
     * @param sink receives the audit record
     */
    private void auditEpochChange(
            long previousRevision, List<PublishedItem> changed, String source, DecisionSink sink) {
        long removed = changed.stream().filter(PublishedItem::removed).count();
        String configuration = acceptedConfiguration.retained() == null
                ? ""
                : ", configuration " + acceptedConfiguration.revision() + " kept, which is not published";
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.PUBLICATION,
                "epoch",
                describe(previousRevision),
                describe(table.revision()),
                source + ": the publisher was restored, " + (changed.size() - removed) + " items changed, " + removed
                        + " removed" + configuration,
                table.revision())));
    }

    /** Returns a revision as text. */
    private static String describe(long revision) {
        return PublicationRevision.number(revision) + " of epoch " + PublicationRevision.epoch(revision);
    }

    /**
     * Applies changes of published items.
     *
     * @param changes the changes, or all items if they follow revision zero
     * @param source the origin of the items, for the audit log: the publisher or the name of a gateway
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     * @return {@code false} if changes before them, or the earlier value of an item, are missing, in which case nothing
     *     is applied
     */
    public boolean applyChanges(FleetDigest.Changes changes, String source, long now, DecisionSink sink) {
        boolean applied = applyItemChanges(changes, source, now, sink);
        if (applied && changes.retainedConfiguration() != null) {
            applyRetained(changes.retainedConfiguration(), source, now, sink);
        }
        return applied;
    }

    /** Applies the items of changes; see {@link #applyChanges}. */
    private boolean applyItemChanges(FleetDigest.Changes changes, String source, long now, DecisionSink sink) {
        if (changes.after() == 0) {
            replace(changes.items(), changes.revision(), source, now, sink);
            return true;
        }
        List<PublishedItem> restored = table.restore(changes.differences());
        if (restored == null) {
            return false;
        }
        restored.addAll(changes.items());
        List<PublishedItem> changed = table.applyChanges(restored, changes.after(), changes.revision());
        if (changed == null) {
            return false;
        }
        applyItems(changed, false, source, now, sink);
        return true;
    }

    /** Applies a configuration that another gateway passed on because the publisher no longer has it. */
    private void applyRetained(PublishedItem item, String source, long now, DecisionSink sink) {
        if (item.removed() || acceptedConfiguration.hasValueOf(item)) {
            return;
        }
        if (decode(item) instanceof Publication.PublishedConfiguration configuration) {
            acceptedConfiguration.recordRetained(
                    item, configuration.configuration().printed());
            listener.onConfigurationPublished(configuration, source, now, sink);
        }
    }

    /**
     * Applies changed items, and reports to the listener if backend servers changed, or which of them may get requests.
     * Evacuations go first, so that nothing else of the same change lets a call go to a data centre that it evacuates.
     *
     * @param changed the items and removals
     * @param restored whether the publisher was restored from a copy
     * @param source the origin of the items, for the audit log
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    private void applyItems(List<PublishedItem> changed, boolean restored, String source, long now, DecisionSink sink) {
        boolean serversChanged = applyEvacuations(changed, restored, source, now, sink);
        long keepUntil = servers.keepUntil(changed, now);
        for (PublishedItem item : changed) {
            serversChanged |= applyItem(item, restored, keepUntil, source, now, sink);
        }
        if (serversChanged) {
            listener.onServersChanged(now, sink);
        }
    }

    /**
     * Applies the starts and ends of evacuations among changed items, in their order.
     *
     * @return whether an evacuation started or ended
     */
    private boolean applyEvacuations(
            List<PublishedItem> changed, boolean restored, String source, long now, DecisionSink sink) {
        boolean any = false;
        for (PublishedItem item : changed) {
            Optional<String> dataCentre = decoder.evacuatedDataCentre(item.key());
            if (dataCentre.isPresent()) {
                any |= applyEvacuation(dataCentre.orElseThrow(), item, restored, source, now, sink);
            }
        }
        return any;
    }

    /** Applies the start or the end of an evacuation, and returns whether it started or ended. */
    private boolean applyEvacuation(
            String dataCentre, PublishedItem item, boolean restored, String source, long now, DecisionSink sink) {
        EvacuationOrigin origin = EvacuationOrigin.PUBLISHED_ITEM;
        if (item.removed()) {
            String reason = item.key() + (restored ? " lost by the publisher, from " : " removed, from ") + source;
            return evacuations.withdraw(dataCentre, origin, reason, item.revision(), sink);
        }
        EvacuationRequest request = new EvacuationRequest(origin, item.key(), item.revision(), source);
        return evacuations.request(dataCentre, request, now, sink);
    }

    /**
     * Applies a changed item.
     *
     * @param item the item or removal
     * @param restored whether the publisher was restored from a copy
     * @param keepUntil the time until which backend servers are kept if their announcements end, in nanoseconds
     * @param source the origin of the item, for the audit log
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     * @return whether the backend servers changed
     */
    private boolean applyItem(
            PublishedItem item, boolean restored, long keepUntil, String source, long now, DecisionSink sink) {
        if (item.removed()) {
            acceptedConfiguration.recordLoss(item.key());
            return servers.withdraw(item, keepUntil, source, now, sink);
        }
        Publication publication = decode(item);
        if (publication instanceof Publication.ServerAnnouncement server) {
            return servers.announce(item, server.server(), restored, source, sink);
        }
        if (publication instanceof Publication.PublishedConfiguration configuration) {
            acceptedConfiguration.recordPublished(
                    item, configuration.configuration().printed());
            listener.onConfigurationPublished(configuration, source, now, sink);
            return false;
        }
        if (publication instanceof Publication.Unreadable unreadable) {
            acceptedConfiguration.recordLoss(item.key());
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.PUBLISHED_ITEM,
                    item.key(),
                    "",
                    "unreadable",
                    unreadable.reason(),
                    item.revision())));
            return servers.registry().withdraw(item.key(), now, now);
        }
        return false;
    }

    /**
     * Decodes an item. A failure of the decoder makes this item unreadable and costs no other, because the others are
     * not published again.
     */
    private Publication decode(PublishedItem item) {
        try {
            return decoder.decode(item);
        } catch (RuntimeException | StackOverflowError failure) {
            return new Publication.Unreadable(failure.toString());
        }
    }

    /**
     * Removes backend servers that were kept after their announcements ended and have not announced themselves again in
     * time.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     */
    public void removeExpiredServers(long now, DecisionSink sink) {
        if (servers.removeExpired(revision(), now, sink)) {
            listener.onServersChanged(now, sink);
        }
    }

    /**
     * Returns the changes after a revision for another gateway.
     *
     * @param after the revision
     * @return the changes, or all items if the changes are not available
     */
    public FleetDigest.Changes changesAfter(long after) {
        List<PublishedItem> changes = after > table.revision() ? null : table.changesAfter(after);
        return changes == null
                ? new FleetDigest.Changes(0, table.revision(), table.publishedItems())
                : new FleetDigest.Changes(after, table.revision(), changes);
    }

    /**
     * Returns the changes after a revision for another gateway, with differences in place of large values whose earlier
     * version the other gateway knows.
     *
     * @param after the revision
     * @return the changes, or all items if the changes are not available
     */
    public FleetDigest.Changes compactChangesAfter(long after) {
        FleetDigest.Changes changes = changesAfter(after);
        if (changes.after() == 0) {
            return changes;
        }
        List<PublishedItem> whole = new ArrayList<>();
        List<ItemDifference> differences = new ArrayList<>();
        for (PublishedItem item : changes.items()) {
            ItemDifference difference = table.difference(item, after);
            if (difference == null) {
                whole.add(item);
            } else {
                differences.add(difference);
            }
        }
        return new FleetDigest.Changes(changes.after(), changes.revision(), whole, differences);
    }

    /**
     * Returns the revision up to which all items are known.
     *
     * @return the revision, zero if no items are known
     */
    public long revision() {
        return table.revision();
    }

    /**
     * Returns the accepted configuration if the publisher no longer has it, for other gateways.
     *
     * @return the item, {@code null} if the publisher has the configuration or there is none
     */
    public PublishedItem retainedConfiguration() {
        return acceptedConfiguration.retained();
    }

    /** Returns the revision of the accepted configuration if the publisher no longer has it, otherwise zero. */
    public long retainedConfigurationRevision() {
        return acceptedConfiguration.retained() == null ? 0 : acceptedConfiguration.revision();
    }

    /** Returns the revision of the accepted configuration, zero if there is none. */
    public long configurationRevision() {
        return acceptedConfiguration.revision();
    }

    /** Returns the number of times that the publisher was found to be restored from a copy. */
    public int epochChanges() {
        return epochChanges;
    }

    /** Returns the data centres whose backend servers get no requests. */
    public Evacuations evacuations() {
        return evacuations;
    }

    /** Returns the backend servers that announce themselves. */
    public ServerRegistry registry() {
        return servers.registry();
    }

    /** Returns the detector of outages of the publisher. */
    public OutageDetector outageDetector() {
        return servers.outageDetector();
    }

    /** Receives the configurations and the changes of backend servers that follow from published items. */
    public interface Listener {

        /**
         * Receives a published configuration.
         *
         * @param configuration the configuration
         * @param source the origin of the configuration, for the audit log: the publisher or the name of a gateway
         * @param now the current time in nanoseconds
         * @param sink receives the resulting decisions
         */
        void onConfigurationPublished(
                Publication.PublishedConfiguration configuration, String source, long now, DecisionSink sink);

        /**
         * Reports that the backend servers of the registry changed.
         *
         * @param now the current time in nanoseconds
         * @param sink receives the resulting decisions
         */
        void onServersChanged(long now, DecisionSink sink);
    }
}
