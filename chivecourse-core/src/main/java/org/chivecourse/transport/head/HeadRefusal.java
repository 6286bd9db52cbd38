package org.chivecourse.transport.head;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.protocol.http.ProblemDocument;

/** How a connection ends whose head goes beyond the limits. */
public interface HeadRefusal {

    /**
     * Ends a connection.
     *
     * @param context the place in front of the handler that decodes HTTP/1.1
     * @param reason the limit that was exceeded
     * @param answerable whether no request of the connection is unanswered but the one whose head arrives, which has
     *     not run
     */
    void refuse(ChannelHandlerContext context, Reason reason, boolean answerable);

    /** Closes the connection, whose exchange fails. */
    enum Closing implements HeadRefusal {
        /** The only instance. */
        INSTANCE;

        @Override
        public void refuse(ChannelHandlerContext context, Reason reason, boolean answerable) {
            context.fireExceptionCaught(new TooLongFrameException(reason.text()));
            context.close();
        }
    }

    /**
     * Answers that the request has not run, where that can be answered, and closes the connection.
     *
     * @param dialect the header fields of callers
     * @param log records each answer
     */
    record Answering(HeaderDialect dialect, Consumer<Decision.Refusal> log) implements HeadRefusal {

        /** The time after which a caller may come again for which there was no memory. */
        private static final long RETRY_AFTER_MILLISECONDS = 1000;

        @Override
        public void refuse(ChannelHandlerContext context, Reason reason, boolean answerable) {
            if (!answerable) {
                Closing.INSTANCE.refuse(context, reason, false);
                return;
            }
            long retryAfter = reason == Reason.HEADS_FULL ? RETRY_AFTER_MILLISECONDS : 0;
            Decision.Refusal answer = new Decision.Refusal(Outcome.NOT_RUN, reason, retryAfter);
            log.accept(answer);
            context.writeAndFlush(encode(answer)).addListener(ChannelFutureListener.CLOSE);
        }

        /** Returns the answer as it is written to the connection. */
        private ByteBuf encode(Decision.Refusal answer) {
            byte[] document = ProblemDocument.encode(answer);
            StringBuilder head = new StringBuilder("HTTP/1.1 ")
                    .append(HttpResponseStatus.valueOf(answer.reason().status()))
                    .append("\r\n");
            addField(head, HttpHeaderNames.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
            addField(head, HeaderNames.OUTCOME, ConstantNames.of(answer.outcome()));
            if (answer.retryAfterMilliseconds() > 0) {
                addField(head, HeaderNames.RETRY_AFTER, dialect.formatRetryAfter(answer.retryAfterMilliseconds()));
            }
            addField(head, HttpHeaderNames.CONNECTION, "close");
            addField(head, HttpHeaderNames.CONTENT_LENGTH, Integer.toString(document.length));
            byte[] octets = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
            return Unpooled.wrappedBuffer(octets, document);
        }

        /** Adds a header field. */
        private static void addField(StringBuilder head, CharSequence name, String value) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }
}
