package org.chivecourse.gateway.environment;

import org.chivecourse.coordination.decision.Decision;

/** Reads published items from a platform as the decision core asks for it. */
public interface PublicationReader {

    /**
     * Carries out a decision about a read.
     *
     * @param decision the decision
     * @return {@code false} if the decision concerns something else
     */
    boolean perform(Decision decision);

    /**
     * Reads from another address from the next read on.
     *
     * @param address the address of the platform's publisher
     */
    void setPublisher(String address);

    /** Ends all reads. */
    void stop();

    /** Reads nothing; for platforms that publish no items. */
    enum Disabled implements PublicationReader {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean perform(Decision decision) {
            return false;
        }

        @Override
        public void setPublisher(String address) {
            // Nothing is read.
        }

        @Override
        public void stop() {
            // There is nothing to end.
        }
    }
}
