package org.chivecourse.gateway.daemon;

import org.chivecourse.transport.platform.PlatformWatch;

/** Reads the values of a platform's watch, and notes which replicas answer. */
abstract class PlatformFeed implements PlatformWatch.Observer {

    /** What is known of the replicas. */
    private final PlatformReplicas replicas;

    /**
     * Creates a feed.
     *
     * @param replicas receives what is known of the replicas
     */
    PlatformFeed(PlatformReplicas replicas) {
        this.replicas = replicas;
    }

    @Override
    public final void onValue(String address, String text) {
        replicas.recordSuccess(address);
        read(address, text);
    }

    @Override
    public final void onUnchanged(String address) {
        replicas.recordSuccess(address);
    }

    @Override
    public final void onFailure(String address, String reason) {
        replicas.recordFailure(address, reason);
    }

    /**
     * Reads a value.
     *
     * @param address the address of the replica
     * @param text the value
     */
    abstract void read(String address, String text);
}
