package org.chivecourse.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.transport.driver.CoreDriver;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Looks at backend servers' health endpoints and probes their load. */
public final class ServerChecks {

    /** The path of the health endpoint. */
    private static final String HEALTH_PATH = "/health";

    /** The time within which a look has to be answered. */
    public static final Duration HEALTH_CHECK_TIMEOUT = Duration.ofSeconds(2);

    /** The status of a backend server that is leaving. */
    private static final int SERVICE_UNAVAILABLE = 503;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The connections to backend servers. */
    private final BackendConnections connections;

    /** The header fields of backend servers. */
    private final HeaderDialect dialect;

    /** The time within which a probe has to be answered. */
    private final Duration probeTimeout;

    /** The addresses whose probe may be sent. */
    private final Set<String> permittedProbes = ConcurrentHashMap.newKeySet();

    /** The addresses that are being probed. */
    private final Set<String> probesInProgress = ConcurrentHashMap.newKeySet();

    /**
     * Creates looks.
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
     * Carries out a decision about a look.
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
     * Looks at a health endpoint.
     *
     * @param address the address of the backend server
     */
    private void checkHealth(String address) {
        HttpClient client = connections.client(address);
        if (client == null) {
            return;
        }
        client.responseTimeout(HEALTH_CHECK_TIMEOUT)
                .get()
                .uri(HEALTH_PATH)
                .response()
                .map(ServerChecks::toHealthAnswer)
                .timeout(HEALTH_CHECK_TIMEOUT)
                .onErrorReturn(HealthCheckResult.UNREACHABLE)
                .subscribe(answer -> driver.handle(new Event.HealthChecked(address, answer)));
    }

    /**
     * Returns what the answer of a health endpoint says.
     *
     * @param response the answer
     * @return what it says
     */
    private static HealthCheckResult toHealthAnswer(HttpClientResponse response) {
        return response.status().code() == SERVICE_UNAVAILABLE ? HealthCheckResult.LEAVING : HealthCheckResult.SERVING;
    }

    /**
     * Probes the load of a backend server.
     *
     * @param address the identity of the backend server
     * @param path the path of the endpoint that states the load
     */
    private void probe(String address, String path) {
        HttpClient client = connections.client(address);
        if (client == null || !probesInProgress.add(address)) {
            return;
        }
        AtomicLong sentAt = new AtomicLong();
        client.responseTimeout(probeTimeout)
                .request(HttpMethod.GET)
                .uri(path)
                .send((request, outbound) -> {
                    driver.handle(new Event.ProbeReady(address));
                    if (!permittedProbes.remove(address)) {
                        return Mono.error(new IllegalStateException("the budget allows no probe now"));
                    }
                    sentAt.set(System.nanoTime());
                    return outbound;
                })
                .responseSingle((response, body) ->
                        body.asByteArray().defaultIfEmpty(new byte[0]).map(read -> response))
                .subscribe(
                        response -> handleProbeAnswer(address, sentAt.get(), response),
                        failure -> handleProbeFailure(address, sentAt.get()));
    }

    /**
     * Tells the core of the answer to a probe.
     *
     * @param address the identity of the backend server
     * @param sentAt the time at which the probe was sent, in nanoseconds
     * @param response the answer
     */
    private void handleProbeAnswer(String address, long sentAt, HttpClientResponse response) {
        probesInProgress.remove(address);
        HttpHeaders headers = response.responseHeaders();
        String identity = dialect.serverIdentity(headers);
        LoadReport report = dialect.loadReport(headers);
        ProbeFinding finding =
                response.status().code() == SERVICE_UNAVAILABLE ? ProbeFinding.UNWELL : ProbeFinding.SERVING;
        if (identity != null && !identity.equals(address)) {
            finding = ProbeFinding.OTHER_SERVER;
        }
        long elapsedNanoseconds = report == null ? 0 : System.nanoTime() - sentAt;
        driver.handle(new Event.ProbeEnded(address, true, report, elapsedNanoseconds, finding));
    }

    /**
     * Tells the core that a probe failed.
     *
     * @param address the identity of the backend server
     * @param sentAt the time at which the probe was sent, in nanoseconds, zero if it was not
     */
    private void handleProbeFailure(String address, long sentAt) {
        probesInProgress.remove(address);
        driver.handle(new Event.ProbeEnded(address, sentAt != 0, null, 0, ProbeFinding.UNREACHABLE));
    }
}
