package org.chivecourse.state.reservation;

/** Why no allocator is asked for a slot, or one is passed over. */
public enum NoAllocator {
    /** No other gateway is live. */
    ALONE,

    /** More than half of the gateways of the data centre allocate no slots. */
    OTHER_POLICY,

    /** The service has no backend server that may be granted, or no way to its data centre is known. */
    NO_SERVER,

    /** All allocators that could be asked are suspected to be silent. */
    SUSPECTED,

    /** Replies usually take longer than digests that tell the load of backend servers. */
    SLOW,

    /** The allocator did not reply in time. */
    SILENT
}
