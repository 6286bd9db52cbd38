package org.chivecourse.transport.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.protocol.trace.TraceRecorder;

/** Feeds events into a decision core, one at a time, and hands its decisions to a performer. */
public final class CoreDriver {

    /** The decision core. */
    private final HostCore core;

    /** Keeps the latest steps. */
    private final TraceRecorder recorder;

    /** Admits one thread at a time to the decision core. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The last identifier given to a call. */
    private final AtomicLong lastCallIdentifier = new AtomicLong();

    /** Carries out decisions, set before the first event. */
    private volatile DecisionSink decisionSink;

    /**
     * Creates a driver.
     *
     * @param core the decision core
     * @param recorder keeps the latest steps
     */
    public CoreDriver(HostCore core, TraceRecorder recorder) {
        this.core = core;
        this.recorder = recorder;
    }

    /**
     * Sets what carries out decisions.
     *
     * @param sink carries out a decision without blocking
     */
    public void setDecisionSink(DecisionSink sink) {
        decisionSink = sink;
    }

    /**
     * Returns an identifier for a new call.
     *
     * @return the identifier
     */
    public long nextCallIdentifier() {
        return lastCallIdentifier.incrementAndGet();
    }

    /**
     * Tells the core an event and carries out the decisions that follow before it returns.
     *
     * @param event the event
     */
    public void handle(Event event) {
        List<Decision> decisions = new ArrayList<>(2);
        lock.lock();
        try {
            long now = System.nanoTime();
            core.handle(event, now, decisions::add);
            recorder.record(now, event, decisions);
            performDecisions(decisions, true);
        } finally {
            lock.unlock();
        }
        performDecisions(decisions, false);
    }

    /**
     * Carries out decisions.
     *
     * @param decisions the decisions
     * @param precedingNextEvent whether to carry out those that put a configuration in force, which has to be done before
     *     the next event chooses one of its backend servers, or the others
     */
    private void performDecisions(List<Decision> decisions, boolean precedingNextEvent) {
        for (Decision decision : decisions) {
            if (precedesNextEvent(decision) == precedingNextEvent) {
                decisionSink.decide(decision);
            }
        }
    }

    /**
     * Returns whether a decision puts a configuration or backend servers in force.
     *
     * @param decision the decision
     * @return {@code true} if it is carried out before the next event
     */
    private static boolean precedesNextEvent(Decision decision) {
        return decision instanceof Decision.Apply || decision instanceof Decision.UseServers;
    }

    /**
     * Reads from the core while no event is being handled.
     *
     * @param reader reads and must not change anything
     * @param <T> the type of what is read
     * @return what was read
     */
    public <T> T read(Function<HostCore, T> reader) {
        lock.lock();
        try {
            return reader.apply(core);
        } finally {
            lock.unlock();
        }
    }
}
