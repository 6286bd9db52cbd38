package org.chivecourse.state.publication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The published items that a host knows, each with the newest revision that it has seen of it.
 *
 * <p>Removals are kept for a while, so that another host can be told of them; one that asks for older changes gets the
 * whole table.
 */
public final class PublicationTable {

    /** The largest number of removals that are kept. */
    private static final int MAXIMUM_REMOVALS = 400;

    /** The items and removals by key, in the order of their last change. */
    private final Map<String, PublishedItem> items = new LinkedHashMap<>();

    /** The revision up to which every item is known. */
    private long revision;

    /** The revision from which on every removal is kept. */
    private long removalsCompleteSince;

    /** The number of removals that are kept. */
    private int removals;

    /**
     * Takes all items that were published at a revision.
     *
     * @param publishedItems the items; those with a higher revision are taken as well
     * @param readRevision the revision
     * @return the items that changed, removals included
     */
    public List<PublishedItem> replaceAll(Collection<PublishedItem> publishedItems, long readRevision) {
        List<PublishedItem> changed = new ArrayList<>();
        Set<String> listedKeys = new HashSet<>();
        for (PublishedItem item : publishedItems) {
            listedKeys.add(item.key());
            putIfNewer(item, changed);
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
        return changed;
    }

    /**
     * Takes the changes between two revisions.
     *
     * @param changes the changed items and removals
     * @param afterRevision the revision after which the changes are complete
     * @param upToRevision the revision up to which they are complete
     * @return the items that changed here, or {@code null} if changes before them are missing
     */
    public List<PublishedItem> applyChanges(Collection<PublishedItem> changes, long afterRevision, long upToRevision) {
        if (afterRevision > revision) {
            return null;
        }
        List<PublishedItem> changed = new ArrayList<>();
        for (PublishedItem item : changes) {
            putIfNewer(item, changed);
        }
        revision = Math.max(revision, upToRevision);
        return changed;
    }

    /**
     * Puts an item if it is newer than what is known of its key.
     *
     * @param item the item or removal
     * @param changed receives the item if it is newer
     */
    private void putIfNewer(PublishedItem item, List<PublishedItem> changed) {
        PublishedItem known = items.get(item.key());
        if (known != null && known.revision() >= item.revision()) {
            return;
        }
        items.remove(item.key());
        removals -= known != null && known.removed() ? 1 : 0;
        items.put(item.key(), item);
        removals += item.removed() ? 1 : 0;
        if (!item.removed() || known != null && !known.removed()) {
            changed.add(item);
        }
        discardOldestRemoval();
    }

    /**
     * Forgets the oldest removals beyond those that are kept.
     */
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
     * @return the changed items and removals, or {@code null} if some of them are not known any more
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
     * Returns the items that are published.
     *
     * @return the items without removals
     */
    public List<PublishedItem> publishedItems() {
        List<PublishedItem> published = new ArrayList<>();
        for (PublishedItem item : items.values()) {
            if (!item.removed()) {
                published.add(item);
            }
        }
        return published;
    }

    /**
     * Returns the revision up to which every item is known.
     *
     * @return the revision, zero if nothing is known
     */
    public long revision() {
        return revision;
    }
}
