package org.chivecourse.coordination.load;

import org.chivecourse.coordination.event.Event;

/** A fault of the messages about slots in a simulation. */
interface SlotMessageFault {

    /**
     * Returns the time by which a message is late, negative if it is lost.
     *
     * @param from the number of the sending gateway
     * @param to the number of the receiving gateway
     */
    long delayMilliseconds(int from, int to, Event message);

    /** No fault. */
    enum Disabled implements SlotMessageFault {
        INSTANCE;

        @Override
        public long delayMilliseconds(int from, int to, Event message) {
            return 0;
        }
    }
}
