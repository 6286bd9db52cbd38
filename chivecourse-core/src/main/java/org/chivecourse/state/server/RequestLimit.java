package org.chivecourse.state.server;

/**
 * The rate at which a backend server takes requests from all hosts together, as it states in its answers.
 *
 * @param requestsPerSecond the number of requests a second, infinite if the backend server states that it has no limit
 */
public record RequestLimit(double requestsPerSecond) {

    /** The statement of a backend server that it has no limit. */
    public static final RequestLimit NONE = new RequestLimit(Double.POSITIVE_INFINITY);

    /** Returns whether there is no limit. */
    public boolean unlimited() {
        return Double.isInfinite(requestsPerSecond);
    }

    /** Returns the rate, or {@code none}, as text for logs. */
    public String text() {
        return unlimited() ? "none" : Double.toString(requestsPerSecond);
    }
}
