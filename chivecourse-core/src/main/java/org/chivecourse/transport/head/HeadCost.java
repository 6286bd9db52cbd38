package org.chivecourse.transport.head;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http2.Http2Headers;
import java.util.Iterator;
import java.util.Map;

/**
 * The lines and bytes of a head, and what they cost in memory once they are decoded.
 *
 * @param lines the number of lines
 * @param bytes the number of bytes
 */
record HeadCost(long lines, long bytes) {

    /** The cost of nothing. */
    static final HeadCost NONE = new HeadCost(0, 0);

    /** What a line costs beside its bytes: its entry, name and value, and its entry in the head that is forwarded. */
    private static final long BYTES_PER_LINE = 200;

    /** The copies of each byte: as it was decoded, and as it is forwarded. */
    private static final long COPIES = 2;

    /** The characters of a field beside its name and value: the colon, a space and the line end. */
    private static final int CHARACTERS_BESIDE_FIELD = 4;

    /** The lines of a head beside its fields: the first one and the empty one. */
    private static final int LINES_BESIDE_FIELDS = 2;

    /** Returns the cost of a head that has been decoded. */
    static HeadCost of(HttpMessage head) {
        long target = head instanceof HttpRequest request ? request.uri().length() : 0;
        return of(head.headers().iteratorCharSequence(), head.headers().size(), target);
    }

    /** Returns the cost of the head of a stream, whose target is one of its fields. */
    static HeadCost of(Http2Headers head) {
        return of(head.iterator(), head.size(), 0);
    }

    /** Returns the cost of a number of fields and of a target. */
    private static HeadCost of(Iterator<Map.Entry<CharSequence, CharSequence>> fields, int count, long targetBytes) {
        long bytes = targetBytes;
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            bytes += field.getKey().length() + field.getValue().length() + CHARACTERS_BESIDE_FIELD;
        }
        return new HeadCost(count + LINES_BESIDE_FIELDS, bytes);
    }

    /** Returns the sum of this cost and further lines and bytes. */
    HeadCost plus(long furtherLines, long furtherBytes) {
        return new HeadCost(lines + furtherLines, bytes + furtherBytes);
    }

    /** Returns the memory in bytes. */
    long memory() {
        return lines * BYTES_PER_LINE + bytes * COPIES;
    }
}
