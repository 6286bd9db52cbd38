package org.chivecourse.protocol.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.RequestLimit;

/**
 * The header fields that callers, gateways and backend servers exchange with a request and its answer. Each environment
 * has its own dialect.
 */
public interface HeaderDialect {

    /**
     * Returns the name of the header field that holds the identifier of a request.
     *
     * @return the name, empty if requests have no identifier
     */
    String requestIdentifierField();

    /**
     * Returns the name of the header field that holds the idempotency key of a request.
     *
     * @return the name, empty if requests have no keys
     */
    String idempotencyKeyField();

    /** Returns the name of the header field that holds the time that remains for a request, in milliseconds. */
    String deadlineField();

    /**
     * Sets the header fields that a gateway adds to a request to a backend server.
     *
     * @param headers the header fields of the request, which are changed
     * @param request the values to set
     */
    void setRequestHeaders(HttpHeaders headers, OutgoingRequest request);

    /**
     * Reads the status and header fields of an answer.
     *
     * @param status the status code
     * @param headers the header fields of the answer
     * @param signal the refusal signal of the service
     * @return the properties of the answer that the decision core needs
     */
    Event.AnswerHead readAnswerHead(int status, HttpHeaders headers, RefusalSignal signal);

    /**
     * Returns why an answer cannot be the complete answer to a request of this gateway.
     *
     * @param identifier the identifier of the request, empty if it has none
     * @param status the status code of the answer
     * @param headers the header fields of the answer
     * @return the reason, {@code null} if the answer is acceptable
     */
    String mismatchReason(String identifier, int status, HttpHeaders headers);

    /**
     * Returns whether an answer names the request that it answers, so that no other request takes it for its own.
     *
     * @param identifier the identifier of the request, empty if it has none
     * @param headers the header fields of the answer
     * @return {@code true} if it does, or if the dialect has no identifiers
     */
    boolean identifies(String identifier, HttpHeaders headers);

    /**
     * Reads the load report of an answer.
     *
     * @param headers the header fields of the answer
     * @return the load report, {@code null} if the answer has none or a malformed one
     */
    LoadReport loadReport(HttpHeaders headers);

    /**
     * Returns whether an answer states that its backend server is leaving.
     *
     * @param headers the header fields of the answer
     * @return {@code true} if it does
     */
    boolean leaving(HttpHeaders headers);

    /**
     * Reads the request limit that an answer states.
     *
     * @param headers the header fields of the answer
     * @return the limit, {@link RequestLimit#NONE} if the answer states that there is none, {@code null} if the dialect
     *     has no such statement or it cannot be read
     */
    RequestLimit requestLimit(HttpHeaders headers);

    /**
     * Reads for how long the backend server that sent the answer to a check says that it stays cold.
     *
     * @param headers the header fields of the answer
     * @return the time in nanoseconds, zero if it is warm, {@code null} if the answer has no readable statement
     */
    Long warmUpNanoseconds(HttpHeaders headers);

    /**
     * Reads the identity of the backend server that sent an answer.
     *
     * @param headers the header fields of the answer
     * @return the identity, {@code null} if the answer states none
     */
    String serverIdentity(HttpHeaders headers);

    /**
     * Returns a text that is part of a request's fingerprint, so that equal requests for different services are told
     * apart. Nothing of the caller or its connection belongs to it: a backend server does not act on these.
     *
     * @param host the host name that the request is addressed to
     * @return the text, empty if only the method, the target, the key and the body count
     */
    String identityContext(String host);

    /**
     * Formats the time after which a caller may retry a request.
     *
     * @param milliseconds the time in milliseconds
     * @return the value of the header field {@code Retry-After}
     */
    String formatRetryAfter(long milliseconds);

    /**
     * The values that a gateway adds to a request to a backend server.
     *
     * @param remainingMilliseconds the time that remains until the deadline, in milliseconds
     * @param depth the number of gateways that the call has passed, this one included
     * @param attempt the number of the attempt among those of its call, counted from one
     * @param identity the identity of the backend server, its address if it has no other
     * @param forwardedFor the addresses of the caller and of the proxies before this gateway
     * @param scheme the scheme of the caller's request
     */
    record OutgoingRequest(
            long remainingMilliseconds, int depth, int attempt, String identity, String forwardedFor, String scheme) {}

    /** The header fields of Chivecourse's own interface; see {@link HeaderNames}. */
    enum Default implements HeaderDialect {
        /** The only instance. */
        INSTANCE;

        /** The number of milliseconds in a second. */
        private static final long MILLISECONDS_PER_SECOND = 1000;

        @Override
        public String requestIdentifierField() {
            return "";
        }

        @Override
        public String idempotencyKeyField() {
            return HeaderNames.IDEMPOTENCY_KEY;
        }

        @Override
        public String deadlineField() {
            return HeaderNames.DEADLINE;
        }

        @Override
        public void setRequestHeaders(HttpHeaders headers, OutgoingRequest request) {
            headers.set(HeaderNames.DEADLINE, request.remainingMilliseconds());
            headers.set(HeaderNames.DEPTH, request.depth());
            headers.set(HeaderNames.ATTEMPT, request.attempt());
            headers.set("X-Forwarded-For", request.forwardedFor());
            headers.set("X-Forwarded-Proto", request.scheme());
        }

        @Override
        public Event.AnswerHead readAnswerHead(int status, HttpHeaders headers, RefusalSignal signal) {
            return new Event.AnswerHead(
                    status,
                    signal.matches(status, headers.get(signal.header())),
                    leaving(headers),
                    loadReport(headers),
                    false,
                    null,
                    RetryAfterField.restNanoseconds(status, headers));
        }

        @Override
        public String mismatchReason(String identifier, int status, HttpHeaders headers) {
            boolean lengthKnown = status == 204
                    || status == 304
                    || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                    || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
            return lengthKnown ? null : "the answer states no length, so its truncation could not be detected";
        }

        @Override
        public boolean identifies(String identifier, HttpHeaders headers) {
            return true;
        }

        @Override
        public LoadReport loadReport(HttpHeaders headers) {
            return LoadReportField.parse(headers.get(HeaderNames.LOAD_REPORT)).orElse(null);
        }

        @Override
        public boolean leaving(HttpHeaders headers) {
            return headers.contains(HeaderNames.SERVER_LEAVING);
        }

        @Override
        public RequestLimit requestLimit(HttpHeaders headers) {
            return null;
        }

        @Override
        public Long warmUpNanoseconds(HttpHeaders headers) {
            return WarmUpField.parse(headers.get(HeaderNames.WARM_UP));
        }

        @Override
        public String serverIdentity(HttpHeaders headers) {
            return null;
        }

        @Override
        public String identityContext(String host) {
            return "";
        }

        @Override
        public String formatRetryAfter(long milliseconds) {
            return Long.toString((milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
        }
    }
}
