package org.chivecourse.standin.backend;

import java.time.Duration;

/**
 * How a stand-in of a backend server works.
 *
 * @param slots the number of requests it runs at the same time
 * @param queueLimit the number of requests that wait beyond those, after which it refuses
 * @param serviceTime the mean time to run a request
 * @param exponentialShare the share of the mean time that varies, from zero for none to one for an exponential distribution
 * @param slowdownFactor how many times longer a request takes while the server straggles
 */
public record BackendProfile(
        int slots, int queueLimit, Duration serviceTime, double exponentialShare, int slowdownFactor) {

    /**
     * Creates a profile of a server with an exponential distribution of service times.
     *
     * @param slots the number of requests it runs at the same time
     * @param serviceTime the mean time to run a request
     */
    public BackendProfile(int slots, Duration serviceTime) {
        this(slots, 1000, serviceTime, 1, 10);
    }
}
