package org.chivecourse.gateway.tls;

import io.netty.handler.ssl.SslContext;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;

/** A TLS context that follows its files: new connections use what the files held last without fault. */
public final class ReloadingTls {

    /** The time between two looks at the files. */
    public static final Duration RELOAD_INTERVAL = Duration.ofSeconds(1);

    /** The log. */
    private static final Logger LOGGER = Logger.getLogger(ReloadingTls.class);

    /** The files, none for plain connections. */
    private final List<File> files;

    /** Builds a context from the files. */
    private final Builder builder;

    /** The context that new connections use, {@code null} for plain connections. */
    private final DelegatingSslContext context;

    /** The times of the files that the context was built from. */
    private List<Long> loadedFileTimes;

    /** The times of the files at the last look. */
    private List<Long> lastFileTimes;

    /**
     * Creates a context.
     *
     * @param files the files, none for plain connections
     * @param builder builds a context from the files
     * @throws TlsException if the files cannot be used
     */
    private ReloadingTls(List<File> files, Builder builder) throws TlsException {
        this.files = files;
        this.builder = builder;
        loadedFileTimes = modificationTimes();
        lastFileTimes = loadedFileTimes;
        context = files.isEmpty() ? null : new DelegatingSslContext(builder.build());
    }

    /**
     * Returns the context of a listener for HTTP.
     *
     * @param certificate the file with the certificate chain, empty for plain connections
     * @param key the file with the private key
     * @return the context
     * @throws TlsException if the files do not hold a certificate and its key
     */
    public static ReloadingTls server(String certificate, String key) throws TlsException {
        List<File> files = certificate.isEmpty() ? List.of() : List.of(new File(certificate), new File(key));
        return new ReloadingTls(files, () -> TlsContexts.server(certificate, key));
    }

    /**
     * Returns the context for connections to backend servers.
     *
     * @param trust the file with the certificates that are trusted, empty for plain connections
     * @return the context
     * @throws TlsException if the file does not hold certificates
     */
    public static ReloadingTls client(String trust) throws TlsException {
        List<File> files = trust.isEmpty() ? List.of() : List.of(new File(trust));
        return new ReloadingTls(files, () -> TlsContexts.client(trust));
    }

    /**
     * Returns the context that new connections use.
     *
     * @return the context, or {@code null} for plain connections
     */
    public SslContext context() {
        return context;
    }

    /**
     * Looks at the files and takes them over once all have changed no more since the last look.
     */
    public void reload() {
        List<Long> currentTimes = modificationTimes();
        boolean unchanged = currentTimes.equals(lastFileTimes);
        lastFileTimes = currentTimes;
        if (!unchanged || currentTimes.equals(loadedFileTimes)) {
            return;
        }
        loadedFileTimes = currentTimes;
        try {
            context.setDelegate(builder.build());
            LOGGER.infof("TLS files %s were taken over", files);
        } catch (TlsException exception) {
            LOGGER.errorf("TLS files %s are not taken over: %s", files, exception.getMessage());
        }
    }

    /**
     * Returns the times at which the files were last modified.
     *
     * @return the times in milliseconds, zero for a missing file
     */
    private List<Long> modificationTimes() {
        List<Long> times = new ArrayList<>();
        files.forEach(file -> times.add(file.lastModified()));
        return times;
    }

    /** Builds a context. */
    @FunctionalInterface
    private interface Builder {

        /**
         * Builds a context.
         *
         * @return the context
         * @throws TlsException if the files cannot be used
         */
        SslContext build() throws TlsException;
    }
}
