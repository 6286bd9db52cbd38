package org.chivecourse.state.publication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The published items that a host knows, each at its latest known revision.
 *
 * <p>The most recent removals are kept, so that they can be sent to other hosts as changes. A host that requests
 * changes from before the oldest of them gets the whole table, as does one that knows only an earlier epoch: revisions
 * order items across epochs, see {@link PublicationRevision}, but changes follow each other only within one.
 */
public final class PublicationTable {

    /** The maximum number of removals that are kept. */
    private static final int MAXIMUM_REMOVALS = 400;

    /** The items and removals by key, in the order of their last change. */
    private final Map<String, PublishedItem> items = new LinkedHashMap<>();

    /** The values before the last change of items. */
    private final EarlierValues earlierValues = new EarlierValues();

    /** The revision up to which the table is complete. */
    private long revision;

    /** The revision since which all removals are kept. */
    private long removalsCompleteSince;

    /** The number of removals that are kept. */
    private int removals;

    /**
     * Applies a complete read of the published items. Items that the read lacks are removed, unless they are newer than
     * it. An outdated read removes nothing.
     *
     * @param publishedItems the items; those with a higher revision than the read are applied as well
     * @param readRevision the revision up to which the read is complete
     * @return the items that changed, including removals
     */
    public List<PublishedItem> replaceAll(Collection<PublishedItem> publishedItems, long readRevision) {
        List<PublishedItem> changed = new ArrayList<>();
        Set<String> listedKeys = new HashSet<>();
        for (PublishedItem item : publishedItems) {
            listedKeys.add(item.key());
            if (readRevision >= revision || mayBeNew(item)) {
                putIfNewer(item, changed);
            }
        }
        if (readRevision < revision) {
            return changed;
        }
        for (PublishedItem known : List.copyOf(items.values())) {
            if (!known.removed() && known.revision() <= readRevision && !listedKeys.contains(known.key())) {
                putIfNewer(PublishedItem.removal(known.key(), readRevision), changed);
            }
        }
        revision = readRevision;
        removalsCompleteSince = Math.max(removalsCompleteSince, readRevision);
        return changed;
    }

    /**
     * Applies the changes between two revisions.
     *
     * @param changes the changed items and removals
     * @param afterRevision the revision after which the changes are complete
     * @param upToRevision the revision up to which the changes are complete
     * @return the items that changed in this table, or {@code null} if changes before them are missing, in which case
     *     none are applied
     */
    public List<PublishedItem> applyChanges(Collection<PublishedItem> changes, long afterRevision, long upToRevision) {
        if (afterRevision > revision || !PublicationRevision.sameEpoch(afterRevision, upToRevision)) {
            return null;
        }
        List<PublishedItem> changed = new ArrayList<>();
        for (PublishedItem item : changes) {
            if (mayBeNew(item)) {
                putIfNewer(item, changed);
            }
        }
        revision = Math.max(revision, upToRevision);
        return changed;
    }

    /**
     * Returns whether an item may be newer than this table. An unknown one is not if the table is complete up to its
     * revision: it has been removed since.
     *
     * @param item the item or removal
     * @return {@code false} if the item is known to be outdated
     */
    private boolean mayBeNew(PublishedItem item) {
        return item.revision() > revision || items.containsKey(item.key());
    }

    /**
     * Stores an item if its revision is higher than the known one of its key.
     *
     * @param item the item or removal
     * @param changed receives the item if it changes what is published
     */
    private void putIfNewer(PublishedItem item, List<PublishedItem> changed) {
        PublishedItem known = items.get(item.key());
        if (known != null && known.revision() >= item.revision()) {
            return;
        }
        items.remove(item.key());
        earlierValues.record(known, item);
        removals -= known != null && known.removed() ? 1 : 0;
        items.put(item.key(), item);
        removals += item.removed() ? 1 : 0;
        if (!item.sameValue(known)) {
            changed.add(item);
        }
        discardOldestRemoval();
    }

    /** Discards the oldest removal if more than the maximum are kept. */
    private void discardOldestRemoval() {
        if (removals <= MAXIMUM_REMOVALS) {
            return;
        }
        String oldest = null;
        for (PublishedItem item : items.values()) {
            if (item.removed()) {
                oldest = item.key();
                break;
            }
        }
        removalsCompleteSince =
                Math.max(removalsCompleteSince, items.remove(oldest).revision());
        removals--;
    }

    /**
     * Returns the changes after a revision.
     *
     * @param afterRevision the revision
     * @return the changed items and removals, or {@code null} if the removals since then are no longer complete or the
     *     revision is zero
     */
    public List<PublishedItem> changesAfter(long afterRevision) {
        if (afterRevision < removalsCompleteSince || afterRevision == 0) {
            return null;
        }
        List<PublishedItem> changes = new ArrayList<>();
        for (PublishedItem item : items.values()) {
            if (item.revision() > afterRevision) {
                changes.add(item);
            }
        }
        return changes;
    }

    /**
     * Returns an item as its difference from the value that a host has.
     *
     * @param item the present item
     * @param knownRevision the revision up to which the host knows all items
     * @return the difference, {@code null} if the host does not have the earlier value or little would be saved
     */
    public ItemDifference difference(PublishedItem item, long knownRevision) {
        return earlierValues.difference(item, knownRevision);
    }

    /**
     * Returns the items that differences describe.
     *
     * @param differences the differences
     * @return the items, {@code null} if the earlier value of one of them is not known
     */
    public List<PublishedItem> restore(Collection<ItemDifference> differences) {
        List<PublishedItem> restored = new ArrayList<>();
        for (ItemDifference difference : differences) {
            PublishedItem item = EarlierValues.restore(items.get(difference.key()), difference);
            if (item == null) {
                return null;
            }
            restored.add(item);
        }
        return restored;
    }

    /** Returns the published items, without removals. */
    public List<PublishedItem> publishedItems() {
        List<PublishedItem> published = new ArrayList<>();
        for (PublishedItem item : items.values()) {
            if (!item.removed()) {
                published.add(item);
            }
        }
        return published;
    }

    /** Returns the revision up to which the table is complete, zero if it is empty. */
    public long revision() {
        return revision;
    }
}
