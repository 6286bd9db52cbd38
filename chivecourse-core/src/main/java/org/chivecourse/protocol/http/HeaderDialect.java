package org.chivecourse.protocol.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.state.server.LoadReport;

/** The header fields by which callers, gateways and backend servers tell each other of a request. */
public interface HeaderDialect {

    /**
     * Returns the name of the field that identifies a request.
     *
     * @return the name, empty if requests have no identifier
     */
    String requestIdentifierField();

    /**
     * Returns the name of the field that holds the idempotency key of a request.
     *
     * @return the name, empty if requests have no keys
     */
    String idempotencyKeyField();

    /**
     * Returns the name of the field that holds the time that remains for a request, in milliseconds.
     *
     * @return the name
     */
    String deadlineField();

    /**
     * Sets the fields of a request to a backend server that gateways set themselves.
     *
     * @param headers the fields of the request
     * @param request what they tell
     */
    void setRequestHeaders(HttpHeaders headers, OutgoingRequest request);

    /**
     * Reads the head of an answer.
     *
     * @param status the status code
     * @param headers the fields of the answer
     * @param signal the refusal signal of the service
     * @return what the head says
     */
    Event.AnswerHead readAnswerHead(int status, HttpHeaders headers, RefusalSignal signal);

    /**
     * Returns why an answer cannot be the one to a request.
     *
     * @param identifier the identifier of the request, {@code null} if it has none
     * @param status the status code of the answer
     * @param headers the fields of the answer
     * @return the reason, or {@code null} if it can be the answer
     */
    String mismatchReason(String identifier, int status, HttpHeaders headers);

    /**
     * Reads the load that an answer states.
     *
     * @param headers the fields of the answer
     * @return the load, or {@code null} if none is stated
     */
    LoadReport loadReport(HttpHeaders headers);

    /**
     * Reads the identity of the backend server that gave an answer.
     *
     * @param headers the fields of the answer
     * @return the identity, or {@code null} if none is stated
     */
    String serverIdentity(HttpHeaders headers);

    /**
     * Returns what tells the copies of one caller's request from like requests of others.
     *
     * @param host the host name that the request is addressed to
     * @param caller the address of the caller
     * @return the text
     */
    String duplicateContext(String host, String caller);

    /**
     * Prints a time after which a copy of a request makes sense.
     *
     * @param milliseconds the time
     * @return the value of the field {@code Retry-After}
     */
    String formatRetryAfter(long milliseconds);

    /**
     * What a gateway tells a backend server of a request.
     *
     * @param remainingMilliseconds the time that remains
     * @param depth the number of gateways that the call has passed
     * @param attempt the number of the attempt
     * @param identity the identity of the backend server, empty if it is known by its address alone
     * @param forwardedFor the addresses of the caller and of proxies before this one
     * @param scheme the scheme that the caller used
     */
    record OutgoingRequest(
            long remainingMilliseconds, int depth, int attempt, String identity, String forwardedFor, String scheme) {}

    /** The fields of the product's own interface. */
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
                    headers.contains(HeaderNames.SERVER_LEAVING),
                    loadReport(headers));
        }

        @Override
        public String mismatchReason(String identifier, int status, HttpHeaders headers) {
            boolean lengthKnown = status == 204
                    || status == 304
                    || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                    || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
            return lengthKnown ? null : "answer states no length, so that its end cannot be told from a cut";
        }

        @Override
        public LoadReport loadReport(HttpHeaders headers) {
            return LoadReportField.parse(headers.get(HeaderNames.LOAD_REPORT)).orElse(null);
        }

        @Override
        public String serverIdentity(HttpHeaders headers) {
            return null;
        }

        @Override
        public String duplicateContext(String host, String caller) {
            return "";
        }

        @Override
        public String formatRetryAfter(long milliseconds) {
            return Long.toString((milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
        }
    }
}
