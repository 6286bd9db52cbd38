package org.chivecourse.protocol.http;

import java.util.Locale;
import java.util.Set;

/** The names of header fields. */
public final class HeaderNames {

    /** Tells a caller the outcome of a request that a gateway gave up on. */
    public static final String OUTCOME = "Chivecourse-Outcome";

    /** Tells how many milliseconds remain for a request. */
    public static final String DEADLINE = "Chivecourse-Deadline-Milliseconds";

    /** Tells how many gateways a call has passed. */
    public static final String DEPTH = "Chivecourse-Depth";

    /** Tells a backend server the number of the attempt, counted from one. */
    public static final String ATTEMPT = "Chivecourse-Attempt";

    /** Names a request so that copies of it are recognised. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** States the load of a backend server on its answers. */
    public static final String LOAD_REPORT = "Load-Report";

    /** States on answers that a backend server is leaving. */
    public static final String SERVER_LEAVING = "Server-Leaving";

    /** Tells when a copy of a request makes sense, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** The header fields that concern one connection only, in lower case; see section 7.6.1 of RFC 9110. */
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

    /** Not to be constructed. */
    private HeaderNames() {}

    /**
     * Returns whether a header field concerns one connection only.
     *
     * @param name the name of the header field
     * @return {@code true} if a gateway does not pass it on
     */
    public static boolean hopByHop(String name) {
        return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }
}
