package org.chivecourse.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.protocol.http.RetryAfterField;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.transport.crossing.CrossingCause;
import org.chivecourse.transport.crossing.CrossingMeter;
import org.chivecourse.transport.driver.CoreDriver;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Checks the health of backend servers and probes their load. */
public final class ServerChecks {

    /** The path of the health endpoint. */
    private static final String HEALTH_PATH = "/health";

    /** The maximum size of the body of an answer to a check, which is not used. */
    private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

    /** The time within which a health check has to be answered. */
    public static final Duration HEALTH_CHECK_TIMEOUT = Duration.ofSeconds(2);

    /**
     * The status by which a backend server states that it is leaving, in the answer to a health check, or that it is
     * unhealthy, in the answer to a probe.
     */
    private static final int SERVICE_UNAVAILABLE = 503;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The connections to backend servers. */
    private final BackendConnections connections;

    /** The header fields of backend servers. */
    private final HeaderDialect dialect;

    /** The time within which a probe has to be answered. */
    private final Duration probeTimeout;

    /** The identities of backend servers whose probe the decision core has permitted and that has not been sent yet. */
    private final Set<String> permittedProbes = ConcurrentHashMap.newKeySet();

    /** The identities of backend servers with a probe in progress. Each has at most one. */
    private final Set<String> probesInProgress = ConcurrentHashMap.newKeySet();

    /**
     * Creates checks.
     *
     * @param driver the driver of the decision core
     * @param connections the connections to backend servers
     * @param dialect the header fields of backend servers
     * @param probeTimeout the time within which a probe has to be answered
     */
    public ServerChecks(
            CoreDriver driver, BackendConnections connections, HeaderDialect dialect, Duration probeTimeout) {
        this.driver = driver;
        this.connections = connections;
        this.dialect = dialect;
        this.probeTimeout = probeTimeout;
    }

    /**
     * Performs a decision about a health check or a probe.
     *
     * @param decision the decision
     * @return {@code false} if the decision concerns something else
     */
    public boolean perform(Decision decision) {
        if (decision instanceof Decision.CheckHealth check) {
            checkHealth(check.address());
        } else if (decision instanceof Decision.Probe probe) {
            probe(probe.address(), probe.path());
        } else if (decision instanceof Decision.SendProbe send) {
            permittedProbes.add(send.address());
        } else {
            return false;
        }
        return true;
    }

    /**
     * Requests the health endpoint of a backend server and informs the decision core of the result. A backend server
     * that is no longer in use is not checked.
     *
     * @param address the identity of the backend server
     */
    private void checkHealth(String address) {
        HttpClient client = connections.client(address);
        if (client == null) {
            return;
        }
        HttpClient.ResponseReceiver<?> receiver = measured(client).get().uri(HEALTH_PATH);
        readAnswer(receiver, HEALTH_CHECK_TIMEOUT)
                .map(ServerChecks::toHealthCheckResult)
                .onErrorReturn(HealthCheckResult.UNREACHABLE)
                .subscribe(answer -> driver.handle(new Event.HealthChecked(address, answer)));
    }

    /** Returns a client whose requests are counted as probes if they cross to another data centre. */
    private static HttpClient measured(HttpClient client) {
        return client.doOnRequest(
                (request, connection) -> CrossingMeter.begin(connection.channel(), CrossingCause.PROBE));
    }

    /**
     * Reads an answer to its end and discards its body. Its connection is kept only after a success, since any other
     * answer may state that the check was not run, and names no request.
     *
     * @param receiver receives the answer
     * @param timeout the time within which the whole answer has to arrive
     * @return the header of the answer, or a failure if the answer is late or its body larger than allowed
     */
    private static Mono<HttpClientResponse> readAnswer(HttpClient.ResponseReceiver<?> receiver, Duration timeout) {
        return receiver.responseConnection((response, connection) -> {
                    if (response.status().codeClass() != HttpStatusClass.SUCCESS) {
                        BackendConnections.closeAfterAnswer(connection);
                    }
                    return discard(connection.inbound().receive()).thenReturn(response);
                })
                .single()
                .timeout(timeout);
    }

    /**
     * Discards a body.
     *
     * @param body the body
     * @return completes at the end of the body, or fails if the body is larger than allowed
     */
    private static Mono<Void> discard(ByteBufFlux body) {
        return body.map(ByteBuf::readableBytes)
                .scan(0, Integer::sum)
                .flatMap(size -> size > MAXIMUM_BODY_BYTES
                        ? Mono.error(
                                new IOException("the answer to a check has more than " + MAXIMUM_BODY_BYTES + " bytes"))
                        : Mono.empty())
                .then();
    }

    /**
     * Converts the answer of a health endpoint to a result. Any status other than 503 counts as serving.
     *
     * @param response the answer
     * @return the result
     */
    private static HealthCheckResult toHealthCheckResult(HttpClientResponse response) {
        return response.status().code() == SERVICE_UNAVAILABLE ? HealthCheckResult.LEAVING : HealthCheckResult.SERVING;
    }

    /**
     * Probes the load of a backend server. The decision core decides whether its probe budget permits the probe when
     * the connection is ready.
     *
     * @param address the identity of the backend server
     * @param path the path of the endpoint that states the load
     */
    private void probe(String address, String path) {
        HttpClient client = connections.client(address);
        if (client == null || !probesInProgress.add(address)) {
            return;
        }
        AtomicLong sentAtNanoseconds = new AtomicLong();
        HttpClient.ResponseReceiver<?> receiver = measured(client)
                .request(HttpMethod.GET)
                .uri(path)
                .send((request, outbound) -> {
                    driver.handle(new Event.ProbeReady(address));
                    if (!permittedProbes.remove(address)) {
                        return Mono.error(new IllegalStateException("the decision core did not permit the probe"));
                    }
                    sentAtNanoseconds.set(System.nanoTime());
                    return outbound;
                });
        readAnswer(receiver, probeTimeout)
                .subscribe(
                        response -> handleProbeAnswer(address, sentAtNanoseconds.get(), response),
                        failure -> handleProbeFailure(address, sentAtNanoseconds.get()));
    }

    /**
     * Informs the decision core of the answer to a probe. The answer of another backend server at the same address is
     * reported as such, and the elapsed time is reported only with a load.
     *
     * @param address the identity of the backend server
     * @param sentAtNanoseconds the time at which the probe was sent
     * @param response the answer
     */
    private void handleProbeAnswer(String address, long sentAtNanoseconds, HttpClientResponse response) {
        probesInProgress.remove(address);
        HttpHeaders headers = response.responseHeaders();
        LoadReport report = dialect.loadReport(headers);
        ProbeFinding finding = finding(address, response.status().code(), headers);
        long elapsedNanoseconds = report == null ? 0 : System.nanoTime() - sentAtNanoseconds;
        driver.handle(new Event.ProbeEnded(
                address,
                true,
                report,
                elapsedNanoseconds,
                finding,
                dialect.requestLimit(headers),
                RetryAfterField.restNanoseconds(response.status().code(), headers),
                dialect.warmUpNanoseconds(headers)));
    }

    /** Returns what the answer to a probe states besides the load. */
    private ProbeFinding finding(String address, int status, HttpHeaders headers) {
        String identity = dialect.serverIdentity(headers);
        if (identity != null && !identity.equals(address)) {
            return ProbeFinding.OTHER_SERVER;
        }
        if (dialect.leaving(headers)) {
            return ProbeFinding.LEAVING;
        }
        return status == SERVICE_UNAVAILABLE ? ProbeFinding.UNWELL : ProbeFinding.SERVING;
    }

    /**
     * Informs the decision core that a probe failed.
     *
     * @param address the identity of the backend server
     * @param sentAtNanoseconds the time at which the probe was sent, zero if it was not sent
     */
    private void handleProbeFailure(String address, long sentAtNanoseconds) {
        probesInProgress.remove(address);
        driver.handle(new Event.ProbeEnded(address, sentAtNanoseconds != 0, null, 0, ProbeFinding.UNREACHABLE));
    }
}
