package org.chivecourse.standin.platform;

/** How a stand-in of the platform answers readers. */
public enum Availability {
    /** Readers get the latest value. */
    UP,

    /** Readers get status 503. */
    DOWN,

    /** Readers get the value that was the latest when the stand-in became stale. */
    STALE
}
