package org.chivecourse.transport.head;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.transport.connection.ConnectionActivity;
import reactor.netty.NettyPipeline;

/**
 * Reserves the memory of a connection's heads and trailers, line by line while they arrive, until their exchanges end.
 * Refuses a head for which there is none. Runs on the connection's event loop.
 */
final class HeadMemoryGuard extends ChannelInboundHandlerAdapter {

    /** The byte that ends a line. */
    private static final byte LINE_FEED = '\n';

    /** The lines that a chunk of a body has: its size, and the end of its content. */
    private static final int LINES_PER_CHUNK = 2;

    /** The limits. */
    private final HeadLimits limits;

    /** How a head beyond the limits is refused. */
    private final HeadRefusal refusal;

    /** Whether heads of requests arrive, which are held until they are answered. */
    private final boolean server;

    /** The memory of the heads whose exchanges have not ended, in the order of their arrival. */
    private final Deque<Long> decoded = new ArrayDeque<>();

    /** The lines and bytes that have arrived and are not decoded. */
    private HeadCost arriving = HeadCost.NONE;

    /** The memory that is reserved for what arrives. */
    private final ArrivingMemory arrivingMemory;

    /** The time at which the head that arrives is refused, {@code null} if none arrives in parts. */
    private ScheduledFuture<?> deadline;

    /** Is told of the exchanges on the connection. */
    private final ConnectionActivity activity;

    /** The sum of the memory of the decoded heads. */
    private long decodedMemory;

    /** The lines of the buffer that is being read. */
    private long readLines;

    /** The lines of the buffer that is being read which no decoded message explains. */
    private long unexplainedLines;

    /** Whether the buffer that is being read holds more than empty lines, which may stand before a request. */
    private boolean textInRead;

    /** Whether a message has been decoded from the buffer that is being read. */
    private boolean decodedAny;

    /** Whether a head has been decoded from the buffer that is being read. */
    private boolean headInRead;

    /** The place before the handler that decodes, at which refusals are written. */
    private ChannelHandlerContext arrivingContext;

    /** Whether the body of a message arrives. */
    private boolean inBody;

    /** Whether the connection has been refused or has ended. */
    private boolean closed;

    /** Creates the guard of a connection. */
    private HeadMemoryGuard(Channel channel, HeadLimits limits, HeadRefusal refusal, boolean server) {
        this.limits = limits;
        this.refusal = refusal;
        this.server = server;
        activity = ConnectionActivity.of(channel);
        arrivingMemory =
                new ArrivingMemory(limits.budget(), () -> channel.eventLoop().execute(this::endSurrendered));
    }

    /**
     * Adds a guard to a connection, before and behind the handler that decodes HTTP/1.1.
     *
     * @param channel the connection
     * @param limits the limits
     * @param refusal how a head beyond the limits is refused
     * @param server whether heads of requests arrive
     * @throws java.util.NoSuchElementException if the connection has no such handler
     */
    static void addTo(Channel channel, HeadLimits limits, HeadRefusal refusal, boolean server) {
        ChannelPipeline pipeline = channel.pipeline();
        HeadMemoryGuard guard = new HeadMemoryGuard(channel, limits, refusal, server);
        pipeline.addBefore(NettyPipeline.HttpCodec, "chivecourse.arriving-heads", guard);
        pipeline.addAfter(NettyPipeline.HttpCodec, "chivecourse.decoded-heads", guard.decodedHandler());
    }

    /** Returns the handler of decoded messages and of the answers to them. */
    private ChannelHandler decodedHandler() {
        return new ChannelDuplexHandler() {

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (closed) {
                    ReferenceCountUtil.release(message);
                    return;
                }
                decodedAny = true;
                if (message instanceof HttpMessage head && !recordHead(head)) {
                    ReferenceCountUtil.release(message);
                    return;
                }
                if (message instanceof HttpContent content) {
                    recordContent(content);
                }
                context.fireChannelRead(message);
            }

            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                if (server && message instanceof LastHttpContent && !informational(message)) {
                    endExchange();
                }
                context.write(message, promise);
            }
        };
    }

    /** Returns whether a message is an answer that another one follows. */
    private static boolean informational(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closed) {
            ReferenceCountUtil.release(message);
            return;
        }
        ByteBuf buffer = (ByteBuf) message;
        int bytes = buffer.readableBytes();
        readLines = countLines(buffer);
        unexplainedLines = readLines;
        textInRead = buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
        decodedAny = false;
        headInRead = false;
        if (!inBody && !setArriving(context, arriving.plus(readLines, bytes))) {
            buffer.release();
            return;
        }
        boolean bodyBefore = inBody;
        context.fireChannelRead(buffer);
        if (closed) {
            return;
        }
        boolean within = true;
        if (decodedAny) {
            within = setArriving(context, new HeadCost(unexplainedLines, 0));
        } else if (bodyBefore) {
            within = setArriving(context, arriving.plus(readLines, bytes));
        }
        if (within) {
            trackUnfinishedHead(context);
        }
    }

    /** Counts the head that arrives among the unfinished ones, and sets its deadline if it arrives in parts. */
    private void trackUnfinishedHead(ChannelHandlerContext context) {
        boolean unfinished = server && !inBody && decoded.isEmpty() && arrivingMemory.bytes() > 0;
        if (!unfinished) {
            forgetUnfinishedHead();
            return;
        }
        limits.unfinished().add(arrivingMemory);
        if (textInRead && !decodedAny && deadline == null) {
            deadline = context.executor()
                    .schedule(
                            () -> endUnfinished(Reason.HEAD_TIMEOUT),
                            limits.timeout().toMillis(),
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Takes the head that arrived from the unfinished ones. */
    private void forgetUnfinishedHead() {
        limits.unfinished().remove(arrivingMemory);
        if (deadline != null) {
            deadline.cancel(false);
            deadline = null;
        }
    }

    /** Ends the connection whose memory was taken for another head, unless its head has ended since. */
    private void endSurrendered() {
        if (decoded.isEmpty()) {
            endUnfinished(Reason.HEADS_FULL);
        } else {
            arrivingMemory.restore();
        }
    }

    /** Ends the connection, with an answer if a head has surely begun to arrive. */
    private void endUnfinished(Reason reason) {
        if (!closed) {
            refuse(arrivingContext, reason, deadline != null);
        }
    }

    /** Returns the number of line ends in a buffer. */
    private static long countLines(ByteBuf buffer) {
        long lines = 0;
        int end = buffer.writerIndex();
        int index = buffer.indexOf(buffer.readerIndex(), end, LINE_FEED);
        while (index >= 0) {
            lines++;
            index = buffer.indexOf(index + 1, end, LINE_FEED);
        }
        return lines;
    }

    /**
     * Replaces what has arrived and is not decoded, and reserves its memory.
     *
     * @return {@code false} if it goes beyond the limits, in which case the connection ends
     */
    private boolean setArriving(ChannelHandlerContext context, HeadCost cost) {
        long held = arrivingMemory.bytes();
        long further = Math.max(0, cost.memory() - held);
        boolean tooManyLines = cost.lines() > limits.maximumLines();
        if (tooManyLines
                || arrivingMemory.surrendered()
                || further > 0 && !limits.unfinished().reserve(held + decodedMemory, further)) {
            refuse(context, tooManyLines ? Reason.HEAD_TOO_LARGE : Reason.HEADS_FULL);
            return false;
        }
        arrivingMemory.add(further);
        arrivingMemory.releaseBeyond(cost.memory());
        arriving = cost;
        return true;
    }

    /** Ends the connection, with an answer if no request but the one that arrives is unanswered. */
    private void refuse(ChannelHandlerContext context, Reason reason) {
        refuse(context, reason, decoded.isEmpty() && !inBody);
    }

    /** Ends the connection, with an answer if there is a request that can be answered. */
    private void refuse(ChannelHandlerContext context, Reason reason, boolean answerable) {
        closed = true;
        limits.recordRefusal();
        refusal.refuse(context, reason, answerable);
    }

    /**
     * Reserves the memory of a decoded head until its exchange ends, in place of what was reserved while it arrived:
     * that may count a part of its body, and does not count a head behind the end of another body.
     *
     * @return {@code false} if it goes beyond the limits, in which case the connection ends
     */
    private boolean recordHead(HttpMessage head) {
        HeadCost cost = HeadCost.of(head);
        long lines = headInRead ? unexplainedLines : Math.max(arriving.lines(), unexplainedLines);
        headInRead = true;
        unexplainedLines = Math.min(readLines, Math.max(0, lines - cost.lines()));
        arriving = new HeadCost(unexplainedLines, 0);
        arrivingMemory.releaseBeyond(arriving.memory());
        forgetUnfinishedHead();
        boolean tooManyLines = cost.lines() > limits.maximumLines();
        if (tooManyLines
                || arrivingMemory.surrendered()
                || !limits.unfinished().reserve(arrivingMemory.bytes() + decodedMemory, cost.memory())) {
            refuse(arrivingContext, tooManyLines ? Reason.HEAD_TOO_LARGE : Reason.HEADS_FULL);
            return false;
        }
        if (decoded.isEmpty()) {
            activity.begin();
        }
        decoded.addLast(cost.memory());
        decodedMemory += cost.memory();
        inBody = true;
        return true;
    }

    /** Records a part of a body, whose lines are none of a head. */
    private void recordContent(HttpContent content) {
        unexplainedLines = Math.max(0, unexplainedLines - countLines(content.content()) - LINES_PER_CHUNK);
        if (!(content instanceof LastHttpContent last)) {
            return;
        }
        unexplainedLines = Math.max(0, unexplainedLines - last.trailingHeaders().size());
        inBody = false;
        if (!server) {
            endExchange();
        }
    }

    /** Returns the memory of the head whose exchange ends first. */
    private void endExchange() {
        Long memory = decoded.pollFirst();
        if (memory != null) {
            decodedMemory -= memory;
            limits.budget().release(memory);
        }
        if (decoded.isEmpty()) {
            activity.end();
        }
        if (server && decoded.isEmpty() && arrivingMemory.bytes() > 0) {
            limits.unfinished().add(arrivingMemory);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        arrivingContext = context;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        closed = true;
        forgetUnfinishedHead();
        arrivingMemory.releaseBeyond(0);
        limits.budget().release(decodedMemory);
        decodedMemory = 0;
        decoded.clear();
    }
}
