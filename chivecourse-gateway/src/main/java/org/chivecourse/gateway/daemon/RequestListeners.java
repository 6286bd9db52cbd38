package org.chivecourse.gateway.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.tls.ReloadingTls;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.http.CallerListener;
import org.chivecourse.transport.http.ExchangeRegistry;
import org.chivecourse.transport.http.RequestSource;
import reactor.netty.resources.LoopResources;

/** The listeners for requests: those of callers and, in a fleet, those that other gateways forward. */
final class RequestListeners {

    /** Accepts callers' requests. */
    private final CallerListener callers;

    /** All listeners, that of callers first. */
    private final List<CallerListener> all = new ArrayList<>();

    /**
     * Creates listeners that are not started.
     *
     * @param settings the settings of the gateway
     * @param callerTls the TLS context for callers' connections
     * @param driver the driver of the decision core
     * @param exchanges the registry of open exchanges
     * @param loops the event loops that connections run on
     * @param limits the limits on the connections of the listeners
     */
    RequestListeners(
            GatewaySettings settings,
            ReloadingTls callerTls,
            CoreDriver driver,
            ExchangeRegistry exchanges,
            LoopResources loops,
            ListenerLimits limits) {
        InetSocketAddress callerAddress =
                SettingsTranslation.listenAddress(settings.callers().address());
        callers = new CallerListener(
                callerAddress,
                RequestSource.Callers.INSTANCE,
                settings.http(),
                callerTls::context,
                driver,
                exchanges,
                loops,
                limits.callers());
        all.add(callers);
        String forwardingAddress =
                settings.fleet() == null ? "" : settings.fleet().forwardingAddress();
        if (!forwardingAddress.isEmpty()) {
            RequestSource gateways = new RequestSource.Gateways(
                    address -> driver.read(core -> core.fleetExchange().peers().includes(address)));
            all.add(new CallerListener(
                    SettingsTranslation.listenAddress(forwardingAddress),
                    gateways,
                    settings.http(),
                    () -> null,
                    driver,
                    exchanges,
                    loops,
                    limits.forwarding()));
        }
    }

    /** Starts to listen. Fails with an unchecked exception if an address cannot be bound. */
    void start() {
        all.forEach(CallerListener::start);
    }

    /** Starts to ask those who send requests to close their connections after their answers. */
    void announceStop() {
        all.forEach(CallerListener::announceStop);
    }

    /** Stops listening and refuses further requests. Exchanges in progress continue. */
    void stop() {
        all.forEach(CallerListener::stop);
    }

    /** Refuses the requests whose bodies are still being read. */
    void endReading() {
        all.forEach(CallerListener::endReading);
    }

    /** Returns the number of requests whose answers are not complete. */
    int openRequests() {
        return all.stream().mapToInt(CallerListener::openRequests).sum();
    }

    /**
     * Replaces the refusal signals when a configuration is applied.
     *
     * @param signals returns the refusal signal of the service that serves a path
     */
    void setRefusalSignals(Function<String, RefusalSignal> signals) {
        all.forEach(listener -> listener.setRefusalSignals(signals));
    }

    /** Returns the port that callers connect to. */
    int callerPort() {
        return callers.port();
    }
}
