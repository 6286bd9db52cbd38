package org.chivecourse.standin.backend;

import java.time.Duration;

/**
 * Describes the capacity and the service times of a simulated backend server.
 *
 * @param slots the number of requests that run concurrently
 * @param queueLimit the number of requests that may wait for a slot; further requests are refused
 * @param serviceTime the mean time to run a request
 * @param exponentialShare the share of the mean service time that is exponentially distributed, from zero (constant
 *     service times) to one
 * @param slowdownFactor the factor by which a fault that slows the server down multiplies service times
 */
public record BackendProfile(
        int slots, int queueLimit, Duration serviceTime, double exponentialShare, int slowdownFactor) {

    /**
     * Creates a profile with exponentially distributed service times, a queue of 1000 requests and a slowdown factor of
     * 10.
     *
     * @param slots the number of requests that run concurrently
     * @param serviceTime the mean time to run a request
     */
    public BackendProfile(int slots, Duration serviceTime) {
        this(slots, 1000, serviceTime, 1, 10);
    }
}
