package org.chivecourse.state.key;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys that a host remembers, up to a maximum number. A full table rejects new keys rather than evict
 * records before they expire, because a forgotten key would let its request run twice.
 */
public final class KeyTable {

    /** The records by key, in the order of insertion. */
    private final Map<String, KeyRecord> records = new LinkedHashMap<>();

    /** The maximum number of keys. */
    private final int maximumSize;

    /** The time for which a key is remembered after it was last recorded, in nanoseconds. */
    private final long lifetimeNanoseconds;

    /**
     * Creates an empty table.
     *
     * @param maximumSize the maximum number of keys
     * @param lifetimeNanoseconds the time for which a key is remembered after it was last recorded, in nanoseconds
     */
    public KeyTable(int maximumSize, long lifetimeNanoseconds) {
        this.maximumSize = maximumSize;
        this.lifetimeNanoseconds = lifetimeNanoseconds;
    }

    /**
     * Returns the record of a key and removes it if it has expired.
     *
     * @param key the key
     * @param now the current time in nanoseconds
     * @return the record, or {@code null} if there is none that has not expired
     */
    public KeyRecord get(String key, long now) {
        KeyRecord record = records.get(key);
        if (record != null && expired(record, now)) {
            records.remove(key);
            return null;
        }
        return record;
    }

    /**
     * Records the state of a key, after removing expired records if the table is full.
     *
     * @param key the key
     * @param call the identifier of the call that uses the key
     * @param state the state of its request
     * @param now the current time in nanoseconds
     * @return {@code false} if the key is new and the table is full
     */
    public boolean put(String key, long call, KeyState state, long now) {
        if (!records.containsKey(key) && records.size() >= maximumSize) {
            records.values().removeIf(record -> expired(record, now));
        }
        if (!records.containsKey(key) && records.size() >= maximumSize) {
            return false;
        }
        records.put(key, new KeyRecord(call, state, now + lifetimeNanoseconds));
        return true;
    }

    /**
     * Removes a key whose request certainly did not run.
     *
     * @param key the key
     */
    public void remove(String key) {
        records.remove(key);
    }

    /**
     * Returns whether a record has expired. The records of open calls never expire.
     *
     * @param record the record
     * @param now the current time in nanoseconds
     * @return {@code true} if the record may be removed
     */
    private static boolean expired(KeyRecord record, long now) {
        boolean open = record.state() == KeyState.ASKING || record.state() == KeyState.HELD;
        return !open && now - record.expiresAt() >= 0;
    }

    /** Returns the number of records, including expired ones that were not removed yet. */
    public int size() {
        return records.size();
    }
}
