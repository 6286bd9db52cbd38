package org.chivecourse.gateway.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ApplicationProtocolNegotiator;
import io.netty.handler.ssl.SslContext;
import java.util.List;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSessionContext;

/** A TLS context that hands each new connection to the context set last. */
final class SwitchingSslContext extends SslContext {

    /** The context set last. */
    private volatile SslContext current;

    /**
     * Creates a context.
     *
     * @param first the context to use at first
     */
    SwitchingSslContext(SslContext first) {
        current = first;
    }

    /**
     * Sets the context for new connections.
     *
     * @param next the context
     */
    void use(SslContext next) {
        current = next;
    }

    /**
     * Returns the context for new connections.
     *
     * @return the context set last
     */
    SslContext current() {
        return current;
    }

    @Override
    public boolean isClient() {
        return current.isClient();
    }

    @Override
    public List<String> cipherSuites() {
        return current.cipherSuites();
    }

    @Override
    @SuppressWarnings("deprecation") // The supertype's only way to name protocols.
    public ApplicationProtocolNegotiator applicationProtocolNegotiator() {
        return current.applicationProtocolNegotiator();
    }

    @Override
    public SSLEngine newEngine(ByteBufAllocator allocator) {
        return current.newEngine(allocator);
    }

    @Override
    public SSLEngine newEngine(ByteBufAllocator allocator, String peerHost, int peerPort) {
        return current.newEngine(allocator, peerHost, peerPort);
    }

    @Override
    public SSLSessionContext sessionContext() {
        return current.sessionContext();
    }
}
