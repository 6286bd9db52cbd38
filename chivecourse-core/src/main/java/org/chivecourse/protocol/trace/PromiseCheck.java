package org.chivecourse.protocol.trace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;

/** Checks the recorded decisions of a trace against what must always hold, whether the trace is complete or not. */
public final class PromiseCheck {

    /** The arrivals by call. */
    private final Map<Long, Arrival> arrivals = new HashMap<>();

    /** The calls by attempt. */
    private final Map<Long, Long> callOfAttempt = new HashMap<>();

    /** The attempts of each call that were allowed to proceed and were not refused. */
    private final Map<Long, Set<Long>> running = new HashMap<>();

    /** The number of attempts of each call that were allowed to proceed. */
    private final Map<Long, Integer> proceeded = new HashMap<>();

    /** The calls that have their final answer. */
    private final Set<Long> answered = new HashSet<>();

    /** The configuration in force. */
    private Configuration configuration = Configuration.revision(0);

    /** The broken promises. */
    private final List<String> broken = new ArrayList<>();

    /**
     * Checks a trace.
     *
     * @param trace the trace
     * @return the broken promises, empty if all were kept
     */
    public List<String> broken(Trace trace) {
        int line = 1;
        for (TraceStep step : trace.steps()) {
            line++;
            note(step.event());
            for (Decision decision : step.decisions()) {
                check(decision, "line " + line + ": ");
            }
        }
        return broken;
    }

    /**
     * Notes an event.
     *
     * @param event the event
     */
    private void note(Event event) {
        if (event instanceof Event.CallArrived arrived) {
            arrivals.put(arrived.call(), arrived.arrival());
        } else if (event instanceof Event.AnswerStarted started
                && started.answer().refused()) {
            Long call = callOfAttempt.get(started.attempt());
            running.getOrDefault(call, Set.of()).remove(started.attempt());
        }
    }

    /**
     * Checks a decision.
     *
     * @param decision the decision
     * @param place the line of the decision
     */
    private void check(Decision decision, String place) {
        if (decision instanceof Decision.Send send) {
            callOfAttempt.put(send.attempt(), send.call());
        } else if (decision instanceof Decision.Proceed proceed) {
            checkProceed(proceed, place);
        } else if (decision instanceof Decision.Deliver deliver) {
            checkFinal(deliver.call(), place);
        } else if (decision instanceof Decision.Refuse refuse) {
            checkFinal(refuse.call(), place);
            boolean notRun = refuse.refusal().outcome() == Outcome.NOT_RUN;
            if (notRun && !running.getOrDefault(refuse.call(), Set.of()).isEmpty()) {
                broken.add(place + "call " + refuse.call() + " is told not run and may have run");
            }
        } else if (decision instanceof Decision.Apply apply) {
            checkApply(apply.configuration().configuration(), place);
        }
    }

    /**
     * Checks that a request that is not idempotent proceeds once.
     *
     * @param proceed the decision
     * @param place the line of the decision
     */
    private void checkProceed(Decision.Proceed proceed, String place) {
        Long call = callOfAttempt.get(proceed.attempt());
        if (call == null) {
            return;
        }
        running.computeIfAbsent(call, key -> new HashSet<>()).add(proceed.attempt());
        int count = proceeded.merge(call, 1, Integer::sum);
        Arrival arrival = arrivals.get(call);
        if (count > 1 && arrival != null && !idempotent(arrival)) {
            broken.add(place + "call " + call + " is not idempotent and proceeds a second time");
        }
        if (answered.contains(call)) {
            broken.add(place + "call " + call + " proceeds after its final answer");
        }
    }

    /**
     * Returns whether a request is idempotent under the configuration in force.
     *
     * @param arrival the request
     * @return {@code true} if it may run more than once
     */
    private boolean idempotent(Arrival arrival) {
        return configuration
                .serviceFor(arrival.path())
                .flatMap(service -> service.routeFor(arrival.method(), arrival.path()))
                .map(Route::idempotency)
                .map(rule -> rule.covers(arrival.method()))
                .orElse(arrival.method().idempotent());
    }

    /**
     * Checks that a call has one final answer.
     *
     * @param call the call
     * @param place the line of the decision
     */
    private void checkFinal(long call, String place) {
        if (!answered.add(call)) {
            broken.add(place + "call " + call + " has a second final answer");
        }
    }

    /**
     * Checks that configurations never go back.
     *
     * @param next the configuration that is put in force
     * @param place the line of the decision
     */
    private void checkApply(Configuration next, String place) {
        if (next.revision() < configuration.revision()) {
            broken.add(place + "revision " + next.revision() + " is put in force after " + configuration.revision());
        }
        configuration = next;
    }
}
