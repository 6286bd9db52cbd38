package org.chivecourse.configuration.model;

import java.time.Duration;

/**
 * How backend servers of a service warm up: a cold one takes few requests.
 *
 * @param duration the time for which a backend server is cold after its start
 * @param requestsPerSecond the number of requests a second that a cold backend server takes from all gateways together
 */
public record WarmUp(Duration duration, double requestsPerSecond) {

    /** The value of a service whose backend servers take as many requests cold as warm. */
    public static final WarmUp NONE = new WarmUp(Duration.ZERO, 0);

    /** Returns whether a cold backend server takes fewer requests. */
    public boolean required() {
        return !equals(NONE);
    }
}
