package org.chivecourse.transport.http;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthAnswer;
import org.chivecourse.protocol.http.HeaderNames;
import org.chivecourse.protocol.http.LoadReportField;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.transport.driver.CoreDriver;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Looks at backend servers' health endpoints and probes their load. */
public final class ServerLooks {

    /** The path of the health endpoint. */
    private static final String HEALTH_PATH = "/health";

    /** The path of the load endpoint. */
    private static final String LOAD_PATH = "/load";

    /** The time within which a look has to be answered. */
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** The status of a backend server that is leaving. */
    private static final int UNAVAILABLE = 503;

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The connections to backend servers. */
    private final BackendConnections connections;

    /** The addresses whose probe may be sent. */
    private final Set<String> allowed = ConcurrentHashMap.newKeySet();

    /** The addresses that are being probed. */
    private final Set<String> probing = ConcurrentHashMap.newKeySet();

    /**
     * Creates looks.
     *
     * @param driver the driver of the decision core
     * @param connections the connections to backend servers
     */
    public ServerLooks(CoreDriver driver, BackendConnections connections) {
        this.driver = driver;
        this.connections = connections;
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
            probe(probe.address());
        } else if (decision instanceof Decision.SendProbe send) {
            allowed.add(send.address());
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
        client.responseTimeout(TIMEOUT)
                .get()
                .uri(HEALTH_PATH)
                .response()
                .map(ServerLooks::healthOf)
                .timeout(TIMEOUT)
                .onErrorReturn(HealthAnswer.UNREACHABLE)
                .subscribe(answer -> driver.handle(new Event.HealthChecked(address, answer)));
    }

    /**
     * Returns what the answer of a health endpoint says.
     *
     * @param response the answer
     * @return what it says
     */
    private static HealthAnswer healthOf(HttpClientResponse response) {
        return response.status().code() == UNAVAILABLE ? HealthAnswer.LEAVING : HealthAnswer.SERVING;
    }

    /**
     * Probes the load of a backend server.
     *
     * @param address the address of the backend server
     */
    private void probe(String address) {
        HttpClient client = connections.client(address);
        if (client == null || !probing.add(address)) {
            return;
        }
        AtomicLong sentAt = new AtomicLong();
        client.request(HttpMethod.GET)
                .uri(LOAD_PATH)
                .send((request, outbound) -> {
                    driver.handle(new Event.ProbeReady(address));
                    if (!allowed.remove(address)) {
                        return Mono.error(new IllegalStateException("the budget allows no probe now"));
                    }
                    sentAt.set(System.nanoTime());
                    return outbound;
                })
                .response()
                .timeout(TIMEOUT)
                .mapNotNull(response -> LoadReportField.read(
                                response.responseHeaders().get(HeaderNames.LOAD_REPORT))
                        .orElse(null))
                .onErrorResume(failure -> Mono.empty())
                .subscribe(
                        report -> ended(address, sentAt.getAndSet(0), report),
                        failure -> probing.remove(address),
                        () -> {
                            probing.remove(address);
                            if (sentAt.get() != 0) {
                                ended(address, sentAt.get(), null);
                            }
                        });
    }

    /**
     * Tells the core the end of a probe that was sent.
     *
     * @param address the address of the backend server
     * @param sentAt the time at which it was sent, in nanoseconds
     * @param report the report, {@code null} if there is none
     */
    private void ended(String address, long sentAt, LoadReport report) {
        long taken = report == null ? 0 : System.nanoTime() - sentAt;
        driver.handle(new Event.ProbeEnded(address, true, report, taken));
    }
}
