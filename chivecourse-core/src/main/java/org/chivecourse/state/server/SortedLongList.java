package org.chivecourse.state.server;

import java.util.Arrays;

/** A short list of numbers in ascending order, for times that are added in order and removed in any order. */
final class SortedLongList {

    /** The number of places at first. */
    private static final int INITIAL_CAPACITY = 8;

    /** The numbers, in the first {@code size} places. */
    private long[] numbers = new long[INITIAL_CAPACITY];

    /** The count of numbers. */
    private int size;

    /**
     * Adds a number at the end.
     *
     * @param number the number, not less than those before
     */
    void add(long number) {
        if (size == numbers.length) {
            numbers = Arrays.copyOf(numbers, 2 * size);
        }
        numbers[size++] = number;
    }

    /**
     * Removes one occurrence of a number.
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
     * Returns the count of numbers that are not greater than another one.
     *
     * @param bound the other number
     * @return the count
     */
    int countUpTo(long bound) {
        int count = size;
        while (count > 0 && numbers[count - 1] > bound) {
            count--;
        }
        return count;
    }

    /**
     * Returns the least number.
     *
     * @return the number
     */
    long first() {
        return numbers[0];
    }

    /**
     * Returns the count of numbers.
     *
     * @return the count
     */
    int size() {
        return size;
    }
}
