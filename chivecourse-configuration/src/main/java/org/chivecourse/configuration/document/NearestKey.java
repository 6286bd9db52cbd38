package org.chivecourse.configuration.document;

import java.util.Collection;
import java.util.Optional;

/** Finds the known key that was probably meant by an unknown one. */
final class NearestKey {

    /** The largest share of characters in which the two may differ. */
    private static final double MAXIMUM_DIFFERENCE_SHARE = 0.5;

    /** Not to be constructed. */
    private NearestKey() {}

    /**
     * Returns a hint at the known key that was probably meant.
     *
     * @param unknown the unknown key
     * @param known the known keys
     * @return the hint, empty if no known key is near
     */
    static String hint(String unknown, Collection<String> known) {
        return findNearest(unknown, known)
                .map(nearest -> ", did you mean \"" + nearest + "\"")
                .orElse("");
    }

    /**
     * Returns the known key that is nearest to an unknown one.
     *
     * @param unknown the unknown key
     * @param known the known keys
     * @return the nearest, if one is near enough
     */
    private static Optional<String> findNearest(String unknown, Collection<String> known) {
        for (String key : known) {
            if (key.startsWith(unknown) || unknown.startsWith(key)) {
                return Optional.of(key);
            }
        }
        String nearest = null;
        int minimumDistance = (int) Math.ceil(MAXIMUM_DIFFERENCE_SHARE * unknown.length());
        for (String key : known) {
            int distance = editDistance(unknown, key);
            if (distance < minimumDistance) {
                minimumDistance = distance;
                nearest = key;
            }
        }
        return Optional.ofNullable(nearest);
    }

    /**
     * Returns the least number of characters to add, remove or replace to turn one text into another.
     *
     * @param first a text
     * @param second another text
     * @return the number
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
