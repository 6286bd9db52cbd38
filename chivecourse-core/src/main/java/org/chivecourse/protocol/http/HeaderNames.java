package org.chivecourse.protocol.http;

import java.util.Locale;
import java.util.Set;

/** The names of header fields that gateways read and set. */
public final class HeaderNames {

    /** The outcome of a request, on answers that a gateway generates, for the caller. */
    public static final String OUTCOME = "Chivecourse-Outcome";

    /** The time that remains for a request, in milliseconds. */
    public static final String DEADLINE = "Chivecourse-Deadline-Milliseconds";

    /** The number of gateways that a call has passed. */
    public static final String DEPTH = "Chivecourse-Depth";

    /** The number of the attempt among those of its call, counted from one, for the backend server. */
    public static final String ATTEMPT = "Chivecourse-Attempt";

    /** The key by which duplicates of a request are recognized. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The load of the backend server that sends an answer; see {@link LoadReportField}. */
    public static final String LOAD_REPORT = "Load-Report";

    /** Present on the answers of a backend server that is leaving. */
    public static final String SERVER_LEAVING = "Server-Leaving";

    /** The time for which the backend server that answers a check stays cold, in milliseconds. */
    public static final String WARM_UP = "Warm-Up-Milliseconds";

    /** The time after which the caller may retry a request, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** The number of attempts that the gateway which forwards a request leaves to the next one. */
    public static final String FORWARDED_ATTEMPTS = "Chivecourse-Forwarded-Attempts";

    /** The fingerprint of a request that another gateway forwards. */
    public static final String FORWARDED_FINGERPRINT = "Chivecourse-Forwarded-Fingerprint";

    /** The prefix, in lower case, of the header fields that only gateways exchange. */
    private static final String FORWARDED_PREFIX = "chivecourse-forwarded-";

    /** The header fields that concern a single connection only, in lower case; see section 7.6.1 of RFC 9110. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    /** This class has only static members. */
    private HeaderNames() {}

    /**
     * Returns whether a header field concerns a single connection or gateways only and is therefore not forwarded.
     *
     * @param name the name of the header field, in any case
     * @return {@code true} if a gateway does not forward the field
     */
    public static boolean hopByHop(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return HOP_BY_HOP.contains(lower) || lower.startsWith(FORWARDED_PREFIX);
    }
}
