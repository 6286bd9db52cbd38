package org.chivecourse.protocol.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses and decompresses configurations and published items that gateways exchange, in the zlib format. */
public final class Deflation {

    /** This class has only static methods. */
    private Deflation() {}

    /**
     * Compresses a text in UTF-8.
     *
     * @param text the text
     * @return the compressed text
     */
    public static byte[] deflate(String text) {
        return deflate(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Compresses bytes.
     *
     * @param bytes the bytes
     * @return the compressed bytes
     */
    public static byte[] deflate(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
            deflater.write(bytes);
        } catch (IOException exception) {
            throw new IllegalStateException("cannot compress in memory", exception);
        }
        return out.toByteArray();
    }

    /**
     * Decompresses a text in UTF-8. Decompression stops at the given size, so that a small message cannot exhaust the
     * memory.
     *
     * @param deflated the compressed text
     * @param maximumBytes the maximum size of the decompressed text, in bytes
     * @return the text
     * @throws PeerMessageException if the compressed text is malformed or the text is larger than {@code maximumBytes}
     */
    public static String inflate(byte[] deflated, int maximumBytes) throws PeerMessageException {
        return new String(inflateBytes(deflated, maximumBytes), StandardCharsets.UTF_8);
    }

    /**
     * Decompresses bytes. Decompression stops at the given size, so that a small message cannot exhaust the memory.
     *
     * @param deflated the compressed bytes
     * @param maximumBytes the maximum size of the decompressed bytes
     * @return the bytes
     * @throws PeerMessageException if the compressed bytes are malformed or there are more than {@code maximumBytes}
     */
    public static byte[] inflateBytes(byte[] deflated, int maximumBytes) throws PeerMessageException {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] bytes = inflater.readNBytes(maximumBytes + 1);
            if (bytes.length > maximumBytes) {
                throw new PeerMessageException("content is larger than " + maximumBytes + " bytes");
            }
            return bytes;
        } catch (IOException exception) {
            throw new PeerMessageException("compressed content is malformed: " + exception.getMessage());
        }
    }
}
