package org.chivecourse.protocol.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.regex.Pattern;

/** Reads the field {@code Retry-After} of answers by which a backend server turns a request away. */
public final class RetryAfterField {

    /** The status of an answer by which a backend server states that it has too much to do. */
    private static final int UNAVAILABLE_STATUS = 503;

    /** The status of an answer by which a backend server states that it got too many requests. */
    private static final int TOO_MANY_REQUESTS_STATUS = 429;

    /** The longest rest, in seconds. After it a backend server that asked for more is asked once more. */
    private static final double MAXIMUM_REST_SECONDS = 3600;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

    /** Matches a number of seconds. A date states nothing, since the clocks of two hosts may differ. */
    private static final Pattern SECONDS_PATTERN = Pattern.compile("\\d{1,12}(?:\\.\\d{1,12})?");

    /** This class has only static methods. */
    private RetryAfterField() {}

    /**
     * Returns the time for which a backend server asks for rest. Of several readable values the longest counts.
     *
     * @param status the status code of its answer
     * @param headers the header fields of its answer
     * @return the time in nanoseconds, zero if it asks for none
     */
    public static long restNanoseconds(int status, HttpHeaders headers) {
        if (status != UNAVAILABLE_STATUS && status != TOO_MANY_REQUESTS_STATUS) {
            return 0;
        }
        double seconds = headers.getAll(HeaderNames.RETRY_AFTER).stream()
                .map(String::trim)
                .filter(value -> SECONDS_PATTERN.matcher(value).matches())
                .mapToDouble(Double::parseDouble)
                .max()
                .orElse(0);
        return (long) (Math.min(seconds, MAXIMUM_REST_SECONDS) * NANOSECONDS_PER_SECOND);
    }
}
