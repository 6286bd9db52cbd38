package org.chivecourse.configuration.format;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.chivecourse.configuration.model.Configuration;

/**
 * A configuration with its printed form. Printed configurations are ordered by revision, then by digest.
 *
 * @param configuration the configuration
 * @param text the configuration as YAML
 * @param digest the SHA-256 digest of the text in UTF-8, in hexadecimal
 */
public record PrintedConfiguration(Configuration configuration, String text, String digest)
        implements Comparable<PrintedConfiguration> {

    /**
     * Creates a printed configuration and computes its digest.
     *
     * @param configuration the configuration
     * @param text the configuration as YAML
     */
    public PrintedConfiguration(Configuration configuration, String text) {
        this(configuration, text, digestOf(text));
    }

    /**
     * Compares the revisions and, for equal revisions, the digests, so that all gateways choose the same one of two
     * configurations with the same revision.
     *
     * @param other the other configuration
     * @return a negative number, zero or a positive number
     */
    @Override
    public int compareTo(PrintedConfiguration other) {
        int byRevision = Long.compare(configuration.revision(), other.configuration.revision());
        return byRevision != 0 ? byRevision : digest.compareTo(other.digest);
    }

    /** Returns the SHA-256 digest of a text in UTF-8, in hexadecimal. */
    private static String digestOf(String text) {
        try {
            MessageDigest messageDigest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(messageDigest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("the Java runtime does not provide SHA-256", exception);
        }
    }
}
