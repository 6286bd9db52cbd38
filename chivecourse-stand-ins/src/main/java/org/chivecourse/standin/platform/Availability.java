package org.chivecourse.standin.platform;

/** Enumerates how a simulated platform service answers readers. */
public enum Availability {
    /** Readers receive the latest value. */
    UP,

    /** Readers receive status 503. */
    DOWN,

    /** Readers receive the value that was the latest when the service became stale. */
    STALE
}
