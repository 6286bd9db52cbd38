package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The part of a body of a known length that has been received. It takes memory only for what has arrived. */
final class WholeBody {

    /** The number of bytes that there is room for at first. */
    private static final int INITIAL_BYTES = 1024;

    /** The bytes received, followed by unused ones. */
    private byte[] bytes;

    /** The number of bytes received. */
    private int length;

    /**
     * Creates a body of which nothing has been received.
     *
     * @param statedLength the length that the header states
     */
    private WholeBody(int statedLength) {
        bytes = new byte[Math.min(statedLength, INITIAL_BYTES)];
    }

    /**
     * Reads a body to its end.
     *
     * @param body the buffers, which are not released
     * @param statedLength the length that the header states
     * @return the bytes, fewer than stated if the body ends before
     */
    static Mono<byte[]> read(Flux<ByteBuf> body, int statedLength) {
        return body.reduceWith(() -> new WholeBody(statedLength), WholeBody::append)
                .map(WholeBody::received);
    }

    /** Adds a part. */
    private WholeBody append(ByteBuf part) {
        int partLength = part.readableBytes();
        if (length + partLength > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(length + partLength, 2 * bytes.length));
        }
        part.readBytes(bytes, length, partLength);
        length += partLength;
        return this;
    }

    /** Returns the bytes received. */
    private byte[] received() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }
}
