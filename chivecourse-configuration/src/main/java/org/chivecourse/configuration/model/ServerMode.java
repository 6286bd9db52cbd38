package org.chivecourse.configuration.model;

/** Whether a backend server receives new requests. */
public enum ServerMode {
    /** The backend server receives new requests. */
    ACTIVE,

    /** The backend server completes the requests that it is processing and receives no new ones. */
    LEAVING
}
