package org.chivecourse.gateway.tls;

import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolConfig.Protocol;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectedListenerFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectorFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import javax.net.ssl.SSLException;

/** Builds TLS contexts from PEM files. */
final class TlsContexts {

    /** The protocols that listeners offer by ALPN, the preferred one first. */
    private static final ApplicationProtocolConfig PROTOCOLS = new ApplicationProtocolConfig(
            Protocol.ALPN,
            SelectorFailureBehavior.NO_ADVERTISE,
            SelectedListenerFailureBehavior.ACCEPT,
            ApplicationProtocolNames.HTTP_2,
            ApplicationProtocolNames.HTTP_1_1);

    /** Prevents instantiation. */
    private TlsContexts() {}

    /**
     * Builds the context of an HTTP listener.
     *
     * @param certificate the file with the certificate chain
     * @param key the file with the private key
     * @return the context
     * @throws TlsException if the files do not hold a certificate and its key
     */
    static SslContext server(String certificate, String key) throws TlsException {
        try {
            return SslContextBuilder.forServer(new File(certificate), new File(key))
                    .applicationProtocolConfig(PROTOCOLS)
                    .build();
        } catch (SSLException | IllegalArgumentException exception) {
            throw new TlsException("certificate \"" + certificate + "\" with key \"" + key + "\"", exception);
        }
    }

    /**
     * Builds the context for connections to backend servers.
     *
     * @param trust the file with the trusted certificates
     * @return the context
     * @throws TlsException if the file does not hold certificates
     */
    static SslContext client(String trust) throws TlsException {
        try {
            return SslContextBuilder.forClient().trustManager(new File(trust)).build();
        } catch (SSLException | IllegalArgumentException exception) {
            throw new TlsException("trusted certificates \"" + trust + "\"", exception);
        }
    }
}
