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
import org.jboss.logging.Logger;

/** Passes events to a decision core, one at a time, and its decisions to a sink that performs them. */
public final class CoreDriver {

    /** Logs decisions that could not be performed. */
    private static final Logger LOGGER = Logger.getLogger(CoreDriver.class);

    /** The decision core, accessed only while the lock is held. */
    private final HostCore core;

    /** Records the latest events and decisions. */
    private final TraceRecorder recorder;

    /** Serializes the access to the decision core. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The last identifier that was assigned to a call. */
    private final AtomicLong lastCallIdentifier = new AtomicLong();

    /** Performs decisions, set before the first event. */
    private volatile DecisionSink decisionSink;

    /**
     * Creates a driver.
     *
     * @param core the decision core
     * @param recorder records events and decisions
     */
    public CoreDriver(HostCore core, TraceRecorder recorder) {
        this.core = core;
        this.recorder = recorder;
    }

    /**
     * Sets the sink that performs decisions. It has to be set before the first event.
     *
     * @param sink performs a decision without blocking
     */
    public void setDecisionSink(DecisionSink sink) {
        decisionSink = sink;
    }

    /** Returns a new identifier for a call, unique on this host since its start. */
    public long nextCallIdentifier() {
        return lastCallIdentifier.incrementAndGet();
    }

    /**
     * Passes an event to the decision core and performs the decisions that follow before it returns. Decisions that
     * change the backend servers in use are performed while the lock is held, the others after it is released.
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
     * Performs those of the given decisions that precede the next event, or all others, in their order.
     *
     * @param decisions the decisions
     * @param precedingNextEvent {@code true} to perform those that change the backend servers in use, which has to
     *     happen before the next event can choose one of them; {@code false} to perform the others
     */
    private void performDecisions(List<Decision> decisions, boolean precedingNextEvent) {
        for (Decision decision : decisions) {
            if (precedesNextEvent(decision) == precedingNextEvent) {
                perform(decision);
            }
        }
    }

    /**
     * Performs a decision. A failure is logged and not thrown, because it must not keep the other decisions of the
     * event from being performed, nor reach whoever passed in the event.
     *
     * @param decision the decision
     */
    private void perform(Decision decision) {
        try {
            decisionSink.decide(decision);
        } catch (RuntimeException | Error failure) {
            LOGGER.errorf(
                    failure,
                    "decision %s could not be performed",
                    decision.getClass().getSimpleName());
        }
    }

    /**
     * Returns whether a decision has to be performed before the next event is handled.
     *
     * @param decision the decision
     * @return {@code true} if the decision applies a configuration or changes the backend servers in use
     */
    private static boolean precedesNextEvent(Decision decision) {
        return decision instanceof Decision.Apply || decision instanceof Decision.UseServers;
    }

    /**
     * Reads from the decision core while no event is being handled.
     *
     * @param reader reads from the decision core and must not change it
     * @param <T> the type of the result
     * @return the result of the reader
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
