package org.chivecourse.configuration.format;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.chivecourse.configuration.model.Configuration;

/**
 * A configuration together with its printed form.
 *
 * @param configuration the configuration
 * @param text the printed form
 * @param digest the SHA-256 digest of the printed form in hexadecimal
 */
public record PrintedConfiguration(Configuration configuration, String text, String digest)
        implements Comparable<PrintedConfiguration> {

    /**
     * Creates a printed configuration with the digest of its text.
     *
     * @param configuration the configuration
     * @param text the printed form
     */
    public PrintedConfiguration(Configuration configuration, String text) {
        this(configuration, text, digestOf(text));
    }

    /**
     * Orders configurations by revision, and those of one revision by digest, alike on every host.
     *
     * @param other the other configuration
     * @return a negative number, zero or a positive number
     */
    @Override
    public int compareTo(PrintedConfiguration other) {
        int byRevision = Long.compare(configuration.revision(), other.configuration.revision());
        return byRevision != 0 ? byRevision : digest.compareTo(other.digest);
    }

    /**
     * Returns the digest of a text.
     *
     * @param text the text
     * @return the SHA-256 digest in hexadecimal
     */
    private static String digestOf(String text) {
        try {
            MessageDigest messageDigest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(messageDigest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("the platform lacks SHA-256", exception);
        }
    }
}
