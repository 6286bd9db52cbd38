package org.chivecourse.gateway.environment;

import org.chivecourse.coordination.decision.Decision;

/** Reads published items from the platform at the request of the decision core. */
public interface PublicationReader {

    /**
     * Carries out a decision to list, watch or cancel.
     *
     * @param decision the decision
     * @return {@code false} if the decision is not about published items
     */
    boolean perform(Decision decision);

    /**
     * Changes the address of the publisher for requests that start from now on.
     *
     * @param address the address of the platform's publisher
     */
    void setPublisher(String address);

    /** Cancels all reads and closes their connections. */
    void stop();

    /** A reader for platforms that publish no items. */
    enum Disabled implements PublicationReader {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean perform(Decision decision) {
            return false;
        }

        @Override
        public void setPublisher(String address) {
            // Ignored: there are no reads that would use the address.
        }

        @Override
        public void stop() {
            // There are no reads to cancel and no connections to close.
        }
    }
}
