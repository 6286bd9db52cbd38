package org.chivecourse.gateway.tls;

import io.netty.handler.ssl.SslContext;
import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;

/**
 * A TLS context that is rebuilt when its files change. If the changed files are invalid, new connections continue to
 * use the previous context.
 */
public final class ReloadingTls {

    /** The interval at which the files are checked for changes. */
    public static final Duration FILE_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Logs each reload and each failure to reload. */
    private static final Logger LOGGER = Logger.getLogger(ReloadingTls.class);

    /** The certificate and key files, empty for plain connections. */
    private final List<File> files;

    /** Builds a context from the files. */
    private final Builder builder;

    /** The context that new connections use, {@code null} for plain connections. */
    private final DelegatingSslContext context;

    /** The modification times of the files at the last attempt to load them. */
    private List<Long> loadedFileTimes;

    /** The modification times of the files at the last check. */
    private List<Long> lastFileTimes;

    /**
     * Creates a context and loads the files.
     *
     * @param files the certificate and key files, empty for plain connections
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
     * Creates the context of an HTTP listener.
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
     * Creates the context for connections to backend servers.
     *
     * @param trust the file with the trusted certificates, empty for plain connections
     * @return the context
     * @throws TlsException if the file does not hold certificates
     */
    public static ReloadingTls client(String trust) throws TlsException {
        List<File> files = trust.isEmpty() ? List.of() : List.of(new File(trust));
        return new ReloadingTls(files, () -> TlsContexts.client(trust));
    }

    /** Returns the context that new connections use, {@code null} for plain connections. */
    public SslContext context() {
        return context;
    }

    /**
     * Checks the files and reloads them if they have changed since they were loaded but not since the last check.
     * Waiting for a check without a change avoids reading files while they are being replaced.
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
            LOGGER.infof("TLS files %s reloaded", files);
        } catch (TlsException exception) {
            LOGGER.errorf(
                    "TLS files %s not reloaded, the previous context stays in use: %s", files, exception.getMessage());
        }
    }

    /** Returns the modification times of the files in milliseconds, zero for a missing file. */
    private List<Long> modificationTimes() {
        List<Long> times = new ArrayList<>();
        files.forEach(file -> times.add(file.lastModified()));
        return times;
    }

    /** Builds a TLS context. */
    @FunctionalInterface
    private interface Builder {

        /**
         * Builds a context from the current content of the files.
         *
         * @return the context
         * @throws TlsException if the files cannot be used
         */
        SslContext build() throws TlsException;
    }
}
