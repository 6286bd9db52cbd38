package org.chivecourse.transport.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.transport.driver.CoreDriver;

/** Finds the exchange or attempt that a decision concerns and has it carried out. */
public final class ExchangeRegistry {

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The connections to backend servers. */
    private final BackendConnections connections;

    /** Counts and times exchanges. */
    private final ExchangeMetrics metrics;

    /** The header fields of callers and backend servers. */
    private final HeaderDialect dialect;

    /** Receives the decisions that touch single requests. */
    private final CallLog log;

    /** The open exchanges with callers, by identifier of the call. */
    private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();

    /** The open attempts, by identifier. */
    private final Map<Long, BackendAttempt> attempts = new ConcurrentHashMap<>();

    /**
     * Creates an empty register.
     *
     * @param driver the driver of the decision core
     * @param connections the connections to backend servers
     * @param metrics counts and times exchanges
     * @param dialect the header fields of callers and backend servers
     * @param log receives the decisions that touch single requests
     */
    public ExchangeRegistry(
            CoreDriver driver,
            BackendConnections connections,
            ExchangeMetrics metrics,
            HeaderDialect dialect,
            CallLog log) {
        this.driver = driver;
        this.connections = connections;
        this.metrics = metrics;
        this.dialect = dialect;
        this.log = log;
    }

    /**
     * Returns the header fields of callers and backend servers.
     *
     * @return the dialect
     */
    HeaderDialect dialect() {
        return dialect;
    }

    /**
     * Returns what receives the decisions that touch single requests.
     *
     * @return the log
     */
    CallLog log() {
        return log;
    }

    /**
     * Returns what counts and times exchanges.
     *
     * @return the metrics
     */
    ExchangeMetrics metrics() {
        return metrics;
    }

    /**
     * Adds an exchange.
     *
     * @param exchange the exchange
     */
    void add(CallerExchange exchange) {
        exchanges.put(exchange.call(), exchange);
    }

    /**
     * Removes an exchange.
     *
     * @param call the identifier of the call
     */
    void removeExchange(long call) {
        exchanges.remove(call);
    }

    /**
     * Removes an attempt.
     *
     * @param attempt the identifier of the attempt
     */
    void removeAttempt(long attempt) {
        attempts.remove(attempt);
    }

    /**
     * Returns the number of exchanges that have not ended.
     *
     * @return the number of exchanges
     */
    public int openExchanges() {
        return exchanges.size();
    }

    /**
     * Carries out a decision about a call or an attempt.
     *
     * @param decision the decision
     * @return {@code false} if the decision concerns something else
     */
    public boolean perform(Decision decision) {
        if (decision instanceof Decision.Send send) {
            send(send);
        } else if (decision instanceof Decision.Proceed proceed) {
            ifPresent(proceed.attempt(), BackendAttempt::proceed);
        } else if (decision instanceof Decision.Withdraw withdraw) {
            ifPresent(withdraw.attempt(), BackendAttempt::withdraw);
        } else if (decision instanceof Decision.Drop drop) {
            ifPresent(drop.attempt(), BackendAttempt::drop);
        } else if (decision instanceof Decision.Deliver deliver) {
            deliver(deliver);
        } else if (decision instanceof Decision.Refuse refuse) {
            refuse(refuse);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Starts an attempt.
     *
     * @param send the decision
     */
    private void send(Decision.Send send) {
        CallerExchange exchange = exchanges.get(send.call());
        if (exchange == null) {
            return;
        }
        BackendAttempt attempt = new BackendAttempt(send, exchange, driver, this);
        attempts.put(send.attempt(), attempt);
        log.logSent(exchange.identifier(), send);
        attempt.start(connections.client(send.address()));
    }

    /**
     * Passes an answer to a caller.
     *
     * @param deliver the decision
     */
    private void deliver(Decision.Deliver deliver) {
        CallerExchange exchange = exchanges.get(deliver.call());
        BackendAttempt attempt = attempts.get(deliver.attempt());
        if (exchange == null && attempt != null) {
            attempt.drop();
        } else if (exchange != null && attempt != null) {
            exchange.deliver(attempt);
        }
    }

    /**
     * Answers a caller in the gateway's own name.
     *
     * @param refuse the decision
     */
    private void refuse(Decision.Refuse refuse) {
        CallerExchange exchange = exchanges.get(refuse.call());
        if (exchange != null) {
            exchange.refuse(refuse.refusal());
        }
    }

    /**
     * Does something with an attempt if it is open.
     *
     * @param attempt the identifier of the attempt
     * @param action what to do
     */
    private void ifPresent(long attempt, Consumer<BackendAttempt> action) {
        BackendAttempt open = attempts.get(attempt);
        if (open != null) {
            action.accept(open);
        }
    }
}
