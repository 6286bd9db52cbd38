package org.chivecourse.configuration.document;

import java.util.Collection;
import java.util.Optional;

/** Finds the known key that was probably meant by an unknown one. */
final class NearestKey {

    /** The largest share of characters in which the two may differ. */
    private static final double LARGEST_DIFFERENCE = 0.5;

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
        return to(unknown, known)
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
    private static Optional<String> to(String unknown, Collection<String> known) {
        for (String key : known) {
            if (key.startsWith(unknown) || unknown.startsWith(key)) {
                return Optional.of(key);
            }
        }
        String nearest = null;
        int least = (int) Math.ceil(LARGEST_DIFFERENCE * unknown.length());
        for (String key : known) {
            int distance = distance(unknown, key);
            if (distance < least) {
                least = distance;
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
    private static int distance(String first, String second) {
        int[] row = new int[second.length() + 1];
        for (int column = 0; column <= second.length(); column++) {
            row[column] = column;
        }
        for (int line = 1; line <= first.length(); line++) {
            int diagonal = row[0];
            row[0] = line;
            for (int column = 1; column <= second.length(); column++) {
                int above = row[column];
                int replaced = diagonal + (first.charAt(line - 1) == second.charAt(column - 1) ? 0 : 1);
                row[column] = Math.min(replaced, 1 + Math.min(above, row[column - 1]));
                diagonal = above;
            }
        }
        return row[second.length()];
    }
}
