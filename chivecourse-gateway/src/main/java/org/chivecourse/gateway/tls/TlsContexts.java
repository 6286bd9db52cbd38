package org.chivecourse.gateway.tls;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import javax.net.ssl.SSLException;

/** Builds TLS contexts from files. */
public final class TlsContexts {

    /** Not to be constructed. */
    private TlsContexts() {}

    /**
     * Returns the context of a listener.
     *
     * @param certificate the file with the certificate chain, empty for plain connections
     * @param key the file with the private key
     * @return the context, or {@code null} for plain connections
     * @throws TlsException if the files do not hold a certificate and its key
     */
    public static SslContext server(String certificate, String key) throws TlsException {
        if (certificate.isEmpty()) {
            return null;
        }
        try {
            return SslContextBuilder.forServer(new File(certificate), new File(key))
                    .build();
        } catch (SSLException | IllegalArgumentException exception) {
            throw new TlsException("certificate \"" + certificate + "\" with key \"" + key + "\"", exception);
        }
    }

    /**
     * Returns the context for connections to backend servers.
     *
     * @param trust the file with the certificates that are trusted, empty for plain connections
     * @return the context, or {@code null} for plain connections
     * @throws TlsException if the file does not hold certificates
     */
    public static SslContext client(String trust) throws TlsException {
        if (trust.isEmpty()) {
            return null;
        }
        try {
            return SslContextBuilder.forClient().trustManager(new File(trust)).build();
        } catch (SSLException | IllegalArgumentException exception) {
            throw new TlsException("trusted certificates \"" + trust + "\"", exception);
        }
    }
}
