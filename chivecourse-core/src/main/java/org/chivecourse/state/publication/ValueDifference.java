package org.chivecourse.state.publication;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Describes a value by its difference from another one, as parts of the other value to copy and bytes to insert.
 *
 * <p>A difference is a sequence of pairs: a number of bytes to insert and the bytes, then a position in the base and a
 * number of bytes to copy from there. Numbers are written in groups of seven bits, lowest first.
 */
final class ValueDifference {

    /** The size of the blocks by which equal parts are found, in bytes. */
    private static final int BLOCK_BYTES = 24;

    /** The multiplier of the rolling hash over a block. */
    private static final int HASH_MULTIPLIER = 0x01000193;

    /** The multiplier to the power of the block size less one, by which the oldest byte leaves the hash. */
    private static final int OLDEST_BYTE_MULTIPLIER = power(HASH_MULTIPLIER, BLOCK_BYTES - 1);

    /** The number of bits of a number in one byte. */
    private static final int GROUP_BITS = 7;

    /** The mask of these bits, one less than the mark that more groups follow. */
    private static final int GROUP_MASK = 0x7f;

    /** The base value. */
    private final byte[] base;

    /** The value to describe. */
    private final byte[] target;

    /** The position of a block in the base by its hash. */
    private final Map<Integer, Integer> blockPositions = new HashMap<>();

    /** Receives the difference. */
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    /**
     * Creates a search for equal parts.
     *
     * @param base the base value
     * @param target the value to describe
     */
    private ValueDifference(byte[] base, byte[] target) {
        this.base = base;
        this.target = target;
    }

    /**
     * Returns how a value differs from another one.
     *
     * @param base the other value
     * @param target the value
     * @return the difference
     */
    static byte[] between(byte[] base, byte[] target) {
        ValueDifference search = new ValueDifference(base, target);
        search.indexBase();
        search.describeTarget();
        return search.out.toByteArray();
    }

    /**
     * Returns the value that differs from another one in a given way.
     *
     * @param base the other value
     * @param difference the difference
     * @param maximumBytes the maximum size of the value
     * @return the value, {@code null} if the difference does not fit the base or the value is too large
     */
    static byte[] apply(byte[] base, byte[] difference, int maximumBytes) {
        ByteBuffer in = ByteBuffer.wrap(difference);
        ByteArrayOutputStream value = new ByteArrayOutputStream();
        try {
            while (in.hasRemaining()) {
                int inserted = readNumber(in);
                if (inserted < 0 || inserted > in.remaining()) {
                    return null;
                }
                value.write(difference, in.position(), inserted);
                in.position(in.position() + inserted);
                int position = readNumber(in);
                int copied = readNumber(in);
                boolean inBase = position >= 0 && copied >= 0 && position <= base.length - copied;
                if (!inBase || value.size() > maximumBytes - copied) {
                    return null;
                }
                value.write(base, position, copied);
            }
        } catch (BufferUnderflowException exception) {
            return null;
        }
        return value.toByteArray();
    }

    /** Indexes the blocks of the base. The first of several equal blocks counts. */
    private void indexBase() {
        for (int position = 0; position + BLOCK_BYTES <= base.length; position += BLOCK_BYTES) {
            blockPositions.putIfAbsent(hash(base, position), position);
        }
    }

    /** Writes the difference. */
    private void describeTarget() {
        int insertedFrom = 0;
        int position = 0;
        int hash = target.length < BLOCK_BYTES ? 0 : hash(target, 0);
        while (position + BLOCK_BYTES <= target.length) {
            Integer basePosition = blockPositions.get(hash);
            int length = basePosition == null ? 0 : equalBytes(basePosition, position);
            if (length < BLOCK_BYTES) {
                hash = roll(hash, position);
                position++;
                continue;
            }
            int before = equalBytesBefore(basePosition, position, position - insertedFrom);
            write(insertedFrom, position - before, basePosition - before, length + before);
            position += length;
            insertedFrom = position;
            hash = position + BLOCK_BYTES <= target.length ? hash(target, position) : 0;
        }
        if (insertedFrom < target.length) {
            write(insertedFrom, target.length, 0, 0);
        }
    }

    /** Returns how many bytes from two positions on are equal. */
    private int equalBytes(int basePosition, int targetPosition) {
        int maximum = Math.min(base.length - basePosition, target.length - targetPosition);
        int length = 0;
        while (length < maximum && base[basePosition + length] == target[targetPosition + length]) {
            length++;
        }
        return length;
    }

    /** Returns how many bytes before two positions are equal, at most a given number. */
    private int equalBytesBefore(int basePosition, int targetPosition, int maximum) {
        int length = 0;
        while (length < Math.min(maximum, basePosition)
                && base[basePosition - length - 1] == target[targetPosition - length - 1]) {
            length++;
        }
        return length;
    }

    /** Writes bytes of the target to insert and a part of the base to copy. */
    private void write(int insertedFrom, int insertedTo, int copiedFrom, int copied) {
        writeNumber(insertedTo - insertedFrom);
        out.write(target, insertedFrom, insertedTo - insertedFrom);
        writeNumber(copiedFrom);
        writeNumber(copied);
    }

    /** Writes a number. */
    private void writeNumber(int number) {
        int rest = number;
        while (rest > GROUP_MASK) {
            out.write(rest & GROUP_MASK | GROUP_MASK + 1);
            rest >>>= GROUP_BITS;
        }
        out.write(rest);
    }

    /** Reads a number, which is negative if it is out of range. */
    private static int readNumber(ByteBuffer in) {
        int number = 0;
        for (int shift = 0; shift < Integer.SIZE; shift += GROUP_BITS) {
            int group = in.get();
            number |= (group & GROUP_MASK) << shift;
            if (group >= 0) {
                return number;
            }
        }
        return -1;
    }

    /** Returns the hash of the block at a position. */
    private static int hash(byte[] bytes, int position) {
        int hash = 0;
        for (int index = position; index < position + BLOCK_BYTES; index++) {
            hash = hash * HASH_MULTIPLIER + bytes[index];
        }
        return hash;
    }

    /** Returns the hash of the block of the target one byte after a position, from that of the block there. */
    private int roll(int hash, int position) {
        if (position + BLOCK_BYTES >= target.length) {
            return 0;
        }
        int withoutOldest = hash - target[position] * OLDEST_BYTE_MULTIPLIER;
        return withoutOldest * HASH_MULTIPLIER + target[position + BLOCK_BYTES];
    }

    /** Returns a power of a number modulo the range of integers. */
    private static int power(int number, int exponent) {
        int result = 1;
        for (int count = 0; count < exponent; count++) {
            result *= number;
        }
        return result;
    }
}
