package org.chivecourse.configuration.model;

/** The comparison of a path with a prefix of whole segments. */
public final class PathPrefix {

    /** Not to be constructed. */
    private PathPrefix() {}

    /**
     * Returns whether a path lies below a prefix.
     *
     * @param prefix the prefix, such as {@code /jobs}
     * @param path the path without its query, such as {@code /jobs/7}
     * @return {@code true} if the path is the prefix or continues it at a segment boundary
     */
    public static boolean covers(String prefix, String path) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        if (prefix.endsWith("/") || path.length() == prefix.length()) {
            return true;
        }
        char next = path.charAt(prefix.length());
        return next == '/' || next == ';';
    }
}
