package org.chivecourse.transport.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.transport.driver.CoreDriver;

/** Holds the open exchanges and attempts, and performs the decisions that concern one of them. */
public final class ExchangeRegistry {

    /** The driver of the decision core. */
    private final CoreDriver driver;

    /** The connections to backend servers. */
    private final BackendConnections connections;

    /** The metrics of exchanges and attempts. */
    private final ExchangeMetrics metrics;

    /** The header fields of callers and backend servers. */
    private final HeaderDialect dialect;

    /** The log of decisions about single calls. */
    private final CallLog log;

    /** The maximum size of an answer's body. */
    private final long maximumAnswerBytes;

    /** The memory that exchanges may hold together. */
    private final ExchangeMemory memory;

    /** The open exchanges with callers, by identifier of the call. */
    private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();

    /** The open attempts, by identifier. */
    private final Map<Long, BackendAttempt> attempts = new ConcurrentHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param driver the driver of the decision core
     * @param connections the connections to backend servers
     * @param metrics the metrics of exchanges and attempts
     * @param dialect the header fields of callers and backend servers
     * @param log the log of decisions about single calls
     * @param maximumAnswerBytes the maximum size of an answer's body
     * @param memory the memory that exchanges may hold together
     */
    public ExchangeRegistry(
            CoreDriver driver,
            BackendConnections connections,
            ExchangeMetrics metrics,
            HeaderDialect dialect,
            CallLog log,
            long maximumAnswerBytes,
            ExchangeMemory memory) {
        this.driver = driver;
        this.connections = connections;
        this.metrics = metrics;
        this.dialect = dialect;
        this.log = log;
        this.maximumAnswerBytes = maximumAnswerBytes;
        this.memory = memory;
    }

    /** Returns the header fields of callers and backend servers. */
    HeaderDialect dialect() {
        return dialect;
    }

    /** Returns the log of decisions about single calls. */
    CallLog log() {
        return log;
    }

    /** Returns the maximum size of an answer's body. */
    long maximumAnswerBytes() {
        return maximumAnswerBytes;
    }

    /** Returns the memory that exchanges may hold together. */
    ExchangeMemory memory() {
        return memory;
    }

    /** Returns the metrics of exchanges and attempts. */
    ExchangeMetrics metrics() {
        return metrics;
    }

    /**
     * Adds an exchange under the identifier of its call.
     *
     * @param exchange the exchange
     */
    void add(CallerExchange exchange) {
        exchanges.put(exchange.call(), exchange);
    }

    /**
     * Removes an exchange that ended.
     *
     * @param call the identifier of the call
     */
    void removeExchange(long call) {
        exchanges.remove(call);
    }

    /**
     * Removes an attempt that ended. Later decisions about it are ignored.
     *
     * @param attempt the identifier of the attempt
     */
    void removeAttempt(long attempt) {
        attempts.remove(attempt);
    }

    /** Returns the number of exchanges that have not ended. */
    public int openExchanges() {
        return exchanges.size();
    }

    /**
     * Performs a decision about a call or an attempt. A decision about one that has ended is ignored.
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
     * Starts an attempt, unless the exchange with the caller has ended.
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
        log.logSent(exchange.identifier(), exchange.fingerprint(), send);
        attempt.start(connections.client(send.address()));
    }

    /**
     * Forwards the answer of an attempt to the caller, or drops the attempt if the exchange with the caller has ended.
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
     * Answers a call with an error that the gateway generates, unless the exchange with the caller has ended.
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
     * Performs an action on an attempt if the attempt is open.
     *
     * @param attempt the identifier of the attempt
     * @param action the action
     */
    private void ifPresent(long attempt, Consumer<BackendAttempt> action) {
        BackendAttempt open = attempts.get(attempt);
        if (open != null) {
            action.accept(open);
        }
    }
}
