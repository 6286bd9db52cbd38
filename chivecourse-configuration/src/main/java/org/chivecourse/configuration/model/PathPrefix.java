package org.chivecourse.configuration.model;

/** Compares paths with prefixes that consist of whole segments. */
public final class PathPrefix {

    /** Prevents instantiation. */
    private PathPrefix() {}

    /**
     * Returns whether a path equals a prefix or continues it at a segment boundary.
     *
     * @param prefix the prefix, such as {@code /jobs}
     * @param path the path without its query, such as {@code /jobs/7}
     * @return whether the prefix covers the path; {@code /jobs} covers {@code /jobs/7}, but not {@code /jobs2}
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
