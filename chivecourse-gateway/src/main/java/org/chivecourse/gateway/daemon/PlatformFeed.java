package org.chivecourse.gateway.daemon;

import org.chivecourse.transport.platform.PlatformWatch;

/** Receives the values that a watch reads from the platform, and records which of its replicas answer. */
abstract class PlatformFeed implements PlatformWatch.Observer {

    /** Records for each replica whether it answers. */
    private final PlatformReplicas replicas;

    /**
     * Creates a feed.
     *
     * @param replicas records which replicas answer
     */
    PlatformFeed(PlatformReplicas replicas) {
        this.replicas = replicas;
    }

    @Override
    public final void onValue(String address, String text) {
        replicas.recordSuccess(address);
        handleValue(address, text);
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
     * Parses a value and passes it to the decision core.
     *
     * @param address the address of the replica that the value was read from
     * @param text the value
     */
    abstract void handleValue(String address, String text);
}
