package org.chivecourse.transport.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AttributeKey;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The time for which a backend server keeps an idle connection open, as its last answer on it states. */
final class KeepAliveTimeout {

    /** The name of the field that states the time. */
    private static final String HEADER = "Keep-Alive";

    /** The pattern of the time in seconds. */
    private static final Pattern TIMEOUT_PATTERN = Pattern.compile("timeout=(\\d{1,6})", Pattern.CASE_INSENSITIVE);

    /** The part of the stated time for which a connection is used, in thousandths of the time in seconds. */
    private static final long USED_MILLISECONDS_PER_SECOND = 750;

    /** The place of the time with a connection. */
    private static final AttributeKey<Long> TIMEOUT_MILLISECONDS =
            AttributeKey.valueOf("chivecourse.idle-limit-milliseconds");

    /** Not to be constructed. */
    private KeepAliveTimeout() {}

    /**
     * Notes the time that an answer states.
     *
     * @param channel the connection
     * @param headers the fields of the answer
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
     * Returns whether an idle connection may be used again.
     *
     * @param channel the connection
     * @param idleMilliseconds the time for which it has been idle
     * @param maximumMilliseconds the longest time where the backend server states none
     * @return {@code true} if the backend server is not about to close it
     */
    static boolean reusable(Channel channel, long idleMilliseconds, long maximumMilliseconds) {
        Long statedMilliseconds = channel.attr(TIMEOUT_MILLISECONDS).get();
        return idleMilliseconds
                < (statedMilliseconds == null
                        ? maximumMilliseconds
                        : Math.min(statedMilliseconds, maximumMilliseconds));
    }
}
