package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.protocol.http.BadRequestException;
import org.chivecourse.protocol.http.Fingerprint;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.protocol.http.KeyAge;
import org.chivecourse.protocol.http.RequestTarget;
import reactor.core.publisher.Flux;
import reactor.netty.http.server.HttpServerRequest;

/**
 * A request of a caller with the values that were parsed from its header.
 *
 * @param request the request
 * @param identifier the identifier that the caller gave the request, empty if it gave none
 * @param target the target of the request
 * @param arrival the values that the decision core needs
 * @param refusalSignal the signal by which backend servers refuse the request
 * @param replayableBody the body if it is kept so that it can be sent again, empty if there is none, {@code null} if it
 *     is streamed
 * @param chunked whether the body is streamed and its length is not stated
 * @param connectionFields the header fields that the request's {@code Connection} field names, in lower case
 * @param maximumBodyBytes the maximum size of a streamed body
 */
record CallerRequest(
        HttpServerRequest request,
        String identifier,
        RequestTarget target,
        Arrival arrival,
        RefusalSignal refusalSignal,
        byte[] replayableBody,
        boolean chunked,
        Set<String> connectionFields,
        long maximumBodyBytes) {

    /** The maximum number of gateways that a call may have passed according to its header. */
    private static final int MAXIMUM_DEPTH = 64;

    /** The prefix of the header fields by which the HTTP library describes HTTP/2 streams. They are not forwarded. */
    private static final String LIBRARY_HEADER_PREFIX = "x-http2-";

    /** The maximum length of an idempotency key, in characters. */
    private static final int MAXIMUM_KEY_CHARACTERS = 255;

    /** The maximum deadline that a caller may request: one day. */
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = TimeUnit.DAYS.toMillis(1);

    /**
     * Parses the header of a request.
     *
     * @param request the request
     * @param method the method
     * @param refusalSignals the refusal signals of services by path
     * @param dialect the header fields of callers
     * @param replayableBody the body if it is kept so that it can be sent again, {@code null} if it is streamed
     * @param maximumBodyBytes the maximum size of a streamed body
     * @param source who sends the request
     * @return the request with its parsed values
     * @throws BadRequestException if the target, the idempotency key, the deadline or the depth is invalid
     */
    static CallerRequest read(
            HttpServerRequest request,
            Method method,
            RefusalSignals refusalSignals,
            HeaderDialect dialect,
            byte[] replayableBody,
            long maximumBodyBytes,
            RequestSource source)
            throws BadRequestException {
        RequestTarget target = RequestTarget.parse(request.uri());
        HttpHeaders headers = request.requestHeaders();
        String keyField = dialect.idempotencyKeyField();
        String key = keyField.isEmpty() ? "" : headers.get(keyField, "");
        if (key.length() > MAXIMUM_KEY_CHARACTERS
                || !key.isEmpty() && headers.getAll(keyField).size() > 1) {
            throw new BadRequestException("the request has several idempotency keys or one that is too long");
        }
        long deadline = parseNumber(headers, dialect.deadlineField(), MAXIMUM_DEADLINE_MILLISECONDS);
        int depth = (int) parseNumber(headers, HeaderNames.DEPTH, MAXIMUM_DEPTH);
        String host = hostName(headers.get(HttpHeaderNames.HOST, ""));
        Arrival arrival = new Arrival(
                method,
                target.path(),
                TimeUnit.MILLISECONDS.toNanos(deadline),
                depth,
                replayableBody != null,
                key,
                KeyAge.nanoseconds(key, System.currentTimeMillis()),
                Fingerprint.of(method, target.pathAndQuery(), key + dialect.identityContext(host), replayableBody),
                host);
        boolean chunked = replayableBody == null && !headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        String identifier =
                dialect.requestIdentifierField().isEmpty() ? "" : headers.get(dialect.requestIdentifierField(), "");
        return new CallerRequest(
                request,
                identifier,
                target,
                source.complete(arrival, headers),
                refusalSignals.forPath(target.path()),
                replayableBody,
                chunked,
                parseConnectionFields(headers),
                maximumBodyBytes);
    }

    /**
     * Removes the port from the value of the {@code Host} header field. A colon within the brackets of an IPv6 address
     * does not start a port.
     *
     * @param value the value of the header field
     * @return the host name in lower case
     */
    private static String hostName(String value) {
        int port = value.lastIndexOf(':');
        boolean hasPort = port >= 0 && value.indexOf(']', port) < 0;
        return (hasPort ? value.substring(0, port) : value).toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the IP address of a caller.
     *
     * @param request the request
     * @return the IP address, or {@code unknown} if the connection has none
     */
    static String callerAddress(HttpServerRequest request) {
        return request.remoteAddress() == null
                ? "unknown"
                : request.remoteAddress().getAddress().getHostAddress();
    }

    /**
     * Parses a header field that holds a number.
     *
     * @param headers the header fields of the request
     * @param name the name of the header field
     * @param maximum the maximum allowed number
     * @return the number, zero if the header field is absent
     * @throws BadRequestException if the value is not a number or outside the allowed range
     */
    private static long parseNumber(HttpHeaders headers, String name, long maximum) throws BadRequestException {
        String value = headers.get(name);
        if (value == null) {
            return 0;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= 0 && number <= maximum) {
                return number;
            }
        } catch (NumberFormatException exception) {
            throw new BadRequestException("header field " + name + " has the invalid value \"" + value + "\"");
        }
        throw new BadRequestException("header field " + name + " has the invalid value \"" + value + "\"");
    }

    /**
     * Returns the header fields of a request that its {@code Connection} field names, which concern the caller's
     * connection only. Names of other fields are not kept, since there may be very many.
     *
     * @param headers the header fields of the request
     * @return the names in lower case, possibly none
     */
    private static Set<String> parseConnectionFields(HttpHeaders headers) {
        List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
        if (values.isEmpty()) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : values) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        Set<String> present = new HashSet<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (named.contains(name)) {
                present.add(name);
            }
        }
        return present;
    }

    /**
     * Returns whether a header field is forwarded to backend servers unchanged.
     *
     * @param name the name of the header field, in any case
     * @return {@code false} for hop-by-hop fields, {@code Expect}, and fields that the HTTP library adds
     */
    boolean forwards(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HeaderNames.hopByHop(lower)
                && !lower.equals("expect")
                && !lower.startsWith(LIBRARY_HEADER_PREFIX)
                && !connectionFields.contains(lower);
    }

    /**
     * Returns the addresses that the request came through, including the caller's.
     *
     * @return the value of the header field {@code X-Forwarded-For}
     */
    String forwardedFor() {
        String previousAddresses = request.requestHeaders().get("X-Forwarded-For");
        String caller = callerAddress(request);
        return previousAddresses == null ? caller : previousAddresses + ", " + caller;
    }

    /** Returns the size that the request states for its body, zero if it states none. */
    long statedBodyBytes() {
        String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        return length == null ? 0 : Long.parseLong(length);
    }

    /**
     * Returns the body of a streamed request.
     *
     * @return the buffers, followed by an error as soon as they exceed the maximum size of a body
     */
    Flux<ByteBuf> streamedBody() {
        AtomicLong size = new AtomicLong();
        return request.receive().retain().doOnNext(buffer -> {
            if (size.addAndGet(buffer.readableBytes()) > maximumBodyBytes) {
                buffer.release();
                throw new IllegalStateException("the request's body is larger than " + maximumBodyBytes + " bytes");
            }
        });
    }

    /** Looks up refusal signals by path. */
    @FunctionalInterface
    interface RefusalSignals {

        /**
         * Returns the refusal signal of the service that serves a path.
         *
         * @param path the path
         * @return the signal, {@link RefusalSignal#NONE} if no service serves the path
         */
        RefusalSignal forPath(String path);
    }
}
