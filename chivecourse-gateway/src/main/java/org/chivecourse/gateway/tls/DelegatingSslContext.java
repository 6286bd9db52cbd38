package org.chivecourse.gateway.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ApplicationProtocolNegotiator;
import io.netty.handler.ssl.SslContext;
import java.util.List;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSessionContext;

/** A TLS context that delegates each new connection to another context, which can be replaced at any time. */
final class DelegatingSslContext extends SslContext {

    /** The context for new connections. */
    private volatile SslContext delegate;

    /**
     * Creates a context.
     *
     * @param initial the context for new connections until it is replaced
     */
    DelegatingSslContext(SslContext initial) {
        delegate = initial;
    }

    /**
     * Replaces the context for new connections. Established connections are not affected.
     *
     * @param replacement the context
     */
    void setDelegate(SslContext replacement) {
        delegate = replacement;
    }

    /** Returns the context for new connections. */
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
    @SuppressWarnings("deprecation") // Deprecated, but abstract in the supertype.
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
