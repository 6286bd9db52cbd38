package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AttributeKey;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The time for which a backend server keeps an idle connection open, as stated by its last answer on the connection.
 */
final class KeepAliveTimeout {

    /** The name of the header field that states the time. */
    private static final String HEADER = "Keep-Alive";

    /** The pattern of the stated time, in seconds. */
    private static final Pattern TIMEOUT_PATTERN = Pattern.compile("timeout=(\\d{1,6})", Pattern.CASE_INSENSITIVE);

    /**
     * The part of the stated time for which a connection is used, in milliseconds for each second. The margin keeps
     * requests off a connection that the backend server is about to close.
     */
    private static final long USED_MILLISECONDS_PER_SECOND = 750;

    /** The attribute of a connection that holds the time for which it is used while idle, in milliseconds. */
    private static final AttributeKey<Long> TIMEOUT_MILLISECONDS =
            AttributeKey.valueOf("chivecourse.idle-limit-milliseconds");

    /** This class has only static methods. */
    private KeepAliveTimeout() {}

    /**
     * Records the time that an answer states. An answer that states none leaves the recorded time unchanged.
     *
     * @param channel the connection
     * @param headers the header fields of the answer
     */
    static void recordStatedTimeout(Channel channel, HttpHeaders headers) {
        String value = headers.get(HEADER);
        if (value == null) {
            return;
        }
        Matcher matcher = TIMEOUT_PATTERN.matcher(value);
        if (matcher.find()) {
            channel.attr(TIMEOUT_MILLISECONDS).set(Long.parseLong(matcher.group(1)) * USED_MILLISECONDS_PER_SECOND);
        }
    }

    /**
     * Returns whether an idle connection may be used for another request.
     *
     * @param channel the connection
     * @param idleMilliseconds the time for which the connection has been idle
     * @param maximumMilliseconds the maximum idle time, which applies even if the backend server states a longer one or
     *     none
     * @return {@code true} if the backend server is not expected to close the connection soon
     */
    static boolean reusable(Channel channel, long idleMilliseconds, long maximumMilliseconds) {
        Long statedMilliseconds = channel.attr(TIMEOUT_MILLISECONDS).get();
        return idleMilliseconds
                < (statedMilliseconds == null
                        ? maximumMilliseconds
                        : Math.min(statedMilliseconds, maximumMilliseconds));
    }
}
