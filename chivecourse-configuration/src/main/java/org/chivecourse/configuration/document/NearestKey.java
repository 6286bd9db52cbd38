package org.chivecourse.configuration.document;

import java.util.Collection;
import java.util.Optional;

/** Suggests a known key in place of an unknown one that may be misspelled. */
final class NearestKey {

    /** The edit distance to a suggested key is less than this share of the unknown key's length, rounded up. */
    private static final double MAXIMUM_DIFFERENCE_SHARE = 0.5;

    /** Prevents instantiation. */
    private NearestKey() {}

    /**
     * Returns the suggestion as a part of an error message.
     *
     * @param unknownKey the unknown key
     * @param knownKeys the known keys
     * @return the suggestion, or an empty text if no known key is similar enough
     */
    static String hint(String unknownKey, Collection<String> knownKeys) {
        return findNearest(unknownKey, knownKeys)
                .map(nearest -> ", did you mean \"" + nearest + "\"")
                .orElse("");
    }

    /**
     * Returns the first known key that is a prefix of the unknown one or has it as a prefix, otherwise the known key
     * with the smallest edit distance.
     *
     * @param unknownKey the unknown key
     * @param knownKeys the known keys
     * @return the nearest key, empty if none is similar enough
     */
    private static Optional<String> findNearest(String unknownKey, Collection<String> knownKeys) {
        for (String key : knownKeys) {
            if (key.startsWith(unknownKey) || unknownKey.startsWith(key)) {
                return Optional.of(key);
            }
        }
        String nearest = null;
        int minimumDistance = (int) Math.ceil(MAXIMUM_DIFFERENCE_SHARE * unknownKey.length());
        for (String key : knownKeys) {
            int distance = editDistance(unknownKey, key);
            if (distance < minimumDistance) {
                minimumDistance = distance;
                nearest = key;
            }
        }
        return Optional.ofNullable(nearest);
    }

    /**
     * Returns the Levenshtein distance of two texts: the smallest number of characters to insert, delete or replace to
     * turn one into the other.
     */
    private static int editDistance(String first, String second) {
        int[] distances = new int[second.length() + 1];
        for (int column = 0; column <= second.length(); column++) {
            distances[column] = column;
        }
        for (int rowIndex = 1; rowIndex <= first.length(); rowIndex++) {
            int diagonal = distances[0];
            distances[0] = rowIndex;
            for (int column = 1; column <= second.length(); column++) {
                int above = distances[column];
                int substitution = diagonal + (first.charAt(rowIndex - 1) == second.charAt(column - 1) ? 0 : 1);
                distances[column] = Math.min(substitution, 1 + Math.min(above, distances[column - 1]));
                diagonal = above;
            }
        }
        return distances[second.length()];
    }
}
