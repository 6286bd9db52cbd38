package org.chivecourse.gateway.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ApplicationProtocolNegotiator;
import io.netty.handler.ssl.SslContext;
import java.util.List;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSessionContext;

/** A TLS context that hands each new connection to the context set last. */
final class DelegatingSslContext extends SslContext {

    /** The context set last. */
    private volatile SslContext delegate;

    /**
     * Creates a context.
     *
     * @param initial the context to use at first
     */
    DelegatingSslContext(SslContext initial) {
        delegate = initial;
    }

    /**
     * Sets the context for new connections.
     *
     * @param replacement the context
     */
    void setDelegate(SslContext replacement) {
        delegate = replacement;
    }

    /**
     * Returns the context for new connections.
     *
     * @return the context set last
     */
    SslContext delegate() {
        return delegate;
    }

    @Override
    public boolean isClient() {
        return delegate.isClient();
    }

    @Override
    public List<String> cipherSuites() {
        return delegate.cipherSuites();
    }

    @Override
    @SuppressWarnings("deprecation") // The supertype's only way to name protocols.
    public ApplicationProtocolNegotiator applicationProtocolNegotiator() {
        return delegate.applicationProtocolNegotiator();
    }

    @Override
    public SSLEngine newEngine(ByteBufAllocator allocator) {
        return delegate.newEngine(allocator);
    }

    @Override
    public SSLEngine newEngine(ByteBufAllocator allocator, String peerHost, int peerPort) {
        return delegate.newEngine(allocator, peerHost, peerPort);
    }

    @Override
    public SSLSessionContext sessionContext() {
        return delegate.sessionContext();
    }
}
