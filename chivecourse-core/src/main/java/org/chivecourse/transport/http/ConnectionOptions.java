package org.chivecourse.transport.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The socket options of all connections for HTTP, which bound what a connection holds in memory and for how long it
 * keeps the event loop from others.
 */
public final class ConnectionOptions {

    /** The number of unwritten bytes of a connection from which on no more are written to it. */
    static final int HIGH_WATERMARK_BYTES = 32 * 1024;

    /** The number of unwritten bytes of a connection below which writing to it goes on. */
    private static final int LOW_WATERMARK_BYTES = 16 * 1024;

    /** The largest number of bytes of one read. */
    private static final int MAXIMUM_READ_BYTES = 8 * 1024;

    /** The largest number of reads from a connection before the event loop turns to others. */
    private static final int READS_PER_TURN = 2;

    /** The largest number of bytes that are read from a connection before the event loop turns to others. */
    static final int BYTES_PER_TURN = MAXIMUM_READ_BYTES * READS_PER_TURN;

    /** The number of bytes that the first read from a connection has room for. */
    private static final int INITIAL_READ_BYTES = 2048;

    /** The smallest number of bytes that a read has room for. */
    private static final int MINIMUM_READ_BYTES = 512;

    /** Prevents instantiation. */
    private ConnectionOptions() {}

    /** Returns a new allocator for received bytes, which reads a few times in each turn of the event loop. */
    public static RecvByteBufAllocator receiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
                .maxMessagesPerRead(READS_PER_TURN);
    }

    /** Returns the numbers of unwritten bytes between which a connection stops and goes on to accept writes. */
    public static WriteBufferWaterMark watermark() {
        return new WriteBufferWaterMark(LOW_WATERMARK_BYTES, HIGH_WATERMARK_BYTES);
    }
}
