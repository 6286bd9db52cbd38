package org.chivecourse.coordination.evacuation;

/** What can request the evacuation of a data centre. Each holds until its own end, whatever the other one says. */
public enum EvacuationOrigin {
    /** An item of the publisher. */
    PUBLISHED_ITEM,

    /** The configuration in force. */
    CONFIGURATION
}
