package org.chivecourse.coordination.fleet;

import java.util.zip.Deflater;

/** Measures the size of a message after compression. */
final class CompressedSize {

    private CompressedSize() {}

    /** Returns the number of bytes of a message that is compressed as a whole. */
    static int of(byte[] message) {
        Deflater deflater = new Deflater();
        deflater.setInput(message);
        deflater.finish();
        byte[] buffer = new byte[8192];
        int size = 0;
        while (!deflater.finished()) {
            size += deflater.deflate(buffer);
        }
        deflater.end();
        return size;
    }
}
