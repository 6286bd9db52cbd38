package org.chivecourse.state.key;

import java.util.LinkedHashMap;
import java.util.Map;

/** The keys that a host remembers, of which none is let go before its time. */
public final class KeyTable {

    /** The records by key, the oldest first. */
    private final Map<String, KeyRecord> records = new LinkedHashMap<>();

    /** The largest number of keys. */
    private final int maximumSize;

    /** The time for which a key is remembered after its call, in nanoseconds. */
    private final long lifetimeNanoseconds;

    /**
     * Creates an empty table.
     *
     * @param maximumSize the largest number of keys
     * @param lifetimeNanoseconds the time for which a key is remembered after its call, in nanoseconds
     */
    public KeyTable(int maximumSize, long lifetimeNanoseconds) {
        this.maximumSize = maximumSize;
        this.lifetimeNanoseconds = lifetimeNanoseconds;
    }

    /**
     * Returns what is remembered of a key.
     *
     * @param key the key
     * @param now the time in nanoseconds
     * @return the record, or {@code null} if there is none
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
     * Records a key that a call uses.
     *
     * @param key the key
     * @param call the identifier of the call
     * @param state what is known of its request
     * @param now the time in nanoseconds
     * @return {@code false} if the table is full
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
     * Forgets a key whose request is proved not to have run.
     *
     * @param key the key
     */
    public void remove(String key) {
        records.remove(key);
    }

    /**
     * Returns whether a record is past its time; one of an open call never is.
     *
     * @param record the record
     * @param now the time in nanoseconds
     * @return {@code true} if it can be forgotten
     */
    private static boolean expired(KeyRecord record, long now) {
        boolean open = record.state() == KeyState.ASKING || record.state() == KeyState.HELD;
        return !open && now - record.expiresAt() >= 0;
    }

    /**
     * Returns the number of keys.
     *
     * @return the number
     */
    public int size() {
        return records.size();
    }
}
