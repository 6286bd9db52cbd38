package org.chivecourse.state.server;

import java.util.Arrays;

/** A short list of numbers in ascending order, for start times that are appended in order and removed in any order. */
final class SortedLongList {

    /** The initial capacity of the array. */
    private static final int INITIAL_CAPACITY = 8;

    /** The numbers, in the first {@code size} elements. */
    private long[] numbers = new long[INITIAL_CAPACITY];

    /** The number of elements in use. */
    private int size;

    /**
     * Appends a number.
     *
     * @param number the number, not less than any before it
     */
    void add(long number) {
        if (size == numbers.length) {
            numbers = Arrays.copyOf(numbers, 2 * size);
        }
        numbers[size++] = number;
    }

    /**
     * Removes one occurrence of a number, if there is one.
     *
     * @param number the number
     */
    void remove(long number) {
        int index = Arrays.binarySearch(numbers, 0, size, number);
        if (index < 0) {
            return;
        }
        System.arraycopy(numbers, index + 1, numbers, index, size - index - 1);
        size--;
    }

    /**
     * Returns the count of numbers that are less than or equal to a bound. The search starts at the end,
     * which is fast for recent times.
     *
     * @param bound the bound, inclusive
     * @return the count
     */
    int countUpTo(long bound) {
        int count = size;
        while (count > 0 && numbers[count - 1] > bound) {
            count--;
        }
        return count;
    }

    /** Removes the smallest numbers. */
    void removeFirst(int count) {
        System.arraycopy(numbers, count, numbers, 0, size - count);
        size -= count;
    }

    /** Returns the smallest number; undefined if the list is empty. */
    long first() {
        return numbers[0];
    }

    /** Returns the number of elements. */
    int size() {
        return size;
    }
}
