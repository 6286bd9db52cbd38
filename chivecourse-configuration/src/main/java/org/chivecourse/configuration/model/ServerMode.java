package org.chivecourse.configuration.model;

/** What the configuration asks of a backend server. */
public enum ServerMode {
    /** The backend server takes new requests. */
    ACTIVE,

    /** The backend server finishes the requests it has and takes no new ones. */
    LEAVING
}
