package org.chivecourse.gateway.daemon;

import org.chivecourse.transport.platform.PlatformWatch;

/** Reads the values of a platform's watch, and notes which replicas answer. */
abstract class PlatformFeed implements PlatformWatch.Observer {

    /** What is known of the replicas. */
    private final PlatformContacts contacts;

    /**
     * Creates a feed.
     *
     * @param contacts receives what is known of the replicas
     */
    PlatformFeed(PlatformContacts contacts) {
        this.contacts = contacts;
    }

    @Override
    public final void onValue(String address, String text) {
        contacts.reached(address);
        read(address, text);
    }

    @Override
    public final void onUnchanged(String address) {
        contacts.reached(address);
    }

    @Override
    public final void onFailure(String address, String reason) {
        contacts.failed(address, reason);
    }

    /**
     * Reads a value.
     *
     * @param address the address of the replica
     * @param text the value
     */
    abstract void read(String address, String text);
}
