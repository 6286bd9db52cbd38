package org.chivecourse.protocol.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** The compression of configurations on their way between gateways. */
public final class Deflation {

    /** Not to be constructed. */
    private Deflation() {}

    /**
     * Compresses a text.
     *
     * @param text the text
     * @return the compressed text
     */
    public static byte[] deflate(String text) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
            deflater.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException exception) {
            throw new IllegalStateException("a text in memory could not be compressed", exception);
        }
        return out.toByteArray();
    }

    /**
     * Decompresses a text.
     *
     * @param deflated the compressed text
     * @param maximumBytes the largest size of the text
     * @return the text
     * @throws PeerMessageException if the text is malformed or too large
     */
    public static String inflate(byte[] deflated, int maximumBytes) throws PeerMessageException {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] text = inflater.readNBytes(maximumBytes + 1);
            if (text.length > maximumBytes) {
                throw new PeerMessageException("text is larger than " + maximumBytes + " bytes");
            }
            return new String(text, StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new PeerMessageException("text is malformed: " + exception.getMessage());
        }
    }
}
