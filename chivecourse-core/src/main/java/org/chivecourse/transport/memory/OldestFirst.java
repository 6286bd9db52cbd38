package org.chivecourse.transport.memory;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Those that hold memory, in the order in which they began, so that the oldest can be ended when others need it. Safe
 * for use by several threads.
 *
 * @param <T> those that hold memory
 */
public final class OldestFirst<T> {

    /** The holders, the oldest first. */
    private final Set<T> holders = new LinkedHashSet<>();

    /**
     * Adds a holder behind all others, unless it is among them.
     *
     * @param holder the holder
     */
    public synchronized void add(T holder) {
        holders.add(holder);
    }

    /**
     * Removes a holder.
     *
     * @param holder the holder
     * @return {@code false} if it was not among them any more
     */
    public synchronized boolean remove(T holder) {
        return holders.remove(holder);
    }

    /** Removes and returns the oldest holder, if there is any. */
    public synchronized Optional<T> takeOldest() {
        Iterator<T> oldestFirst = holders.iterator();
        if (!oldestFirst.hasNext()) {
            return Optional.empty();
        }
        T oldest = oldestFirst.next();
        oldestFirst.remove();
        return Optional.of(oldest);
    }

    /** Returns the number of holders. */
    public synchronized int size() {
        return holders.size();
    }
}
