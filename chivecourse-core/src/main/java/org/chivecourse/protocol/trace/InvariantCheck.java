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

/**
 * Checks that the decisions of a trace keep the invariants that hold for every call, for complete and incomplete
 * traces.
 */
public final class InvariantCheck {

    /** The arrivals by call. */
    private final Map<Long, Arrival> arrivals = new HashMap<>();

    /** The call of each attempt. */
    private final Map<Long, Long> callByAttempt = new HashMap<>();

    /** The attempts of each call that may have run: they were allowed to proceed, and no refusal has arrived. */
    private final Map<Long, Set<Long>> possiblyRunAttempts = new HashMap<>();

    /** The number of attempts of each call that were allowed to proceed. */
    private final Map<Long, Integer> proceedCounts = new HashMap<>();

    /** The calls whose final answer has been decided. */
    private final Set<Long> answeredCalls = new HashSet<>();

    /** The configuration in force, of revision zero until one is applied. */
    private Configuration configuration = Configuration.revision(0);

    /** The descriptions of the violations found so far. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Checks all steps of a trace. The state of the check is kept, so that each instance checks one trace.
     *
     * @param trace the trace
     * @return a description of each violation with its line in the trace, empty if all invariants are kept
     */
    public List<String> violations(Trace trace) {
        int line = 1;
        for (TraceStep step : trace.steps()) {
            line++;
            recordEvent(step.event());
            for (Decision decision : step.decisions()) {
                checkDecision(decision, "line " + line + ": ");
            }
        }
        return violations;
    }

    /**
     * Records an arrival or a refusal, which later decisions are checked against.
     *
     * @param event the event
     */
    private void recordEvent(Event event) {
        if (event instanceof Event.CallArrived arrived) {
            arrivals.put(arrived.call(), arrived.arrival());
        } else if (event instanceof Event.AnswerStarted started
                && started.answer().refused()) {
            Long call = callByAttempt.get(started.attempt());
            possiblyRunAttempts.getOrDefault(call, Set.of()).remove(started.attempt());
        }
    }

    /**
     * Checks a decision and records what later ones are checked against. A call that is refused with the outcome not
     * run must not have an attempt that may have run.
     *
     * @param decision the decision
     * @param location the line of the decision in the trace, as a prefix of descriptions
     */
    private void checkDecision(Decision decision, String location) {
        if (decision instanceof Decision.Send send) {
            callByAttempt.put(send.attempt(), send.call());
        } else if (decision instanceof Decision.Proceed proceed) {
            checkProceed(proceed, location);
        } else if (decision instanceof Decision.Deliver deliver) {
            checkSingleFinalAnswer(deliver.call(), location);
        } else if (decision instanceof Decision.Refuse refuse) {
            checkSingleFinalAnswer(refuse.call(), location);
            boolean notRun = refuse.refusal().outcome() == Outcome.NOT_RUN;
            if (notRun
                    && !possiblyRunAttempts
                            .getOrDefault(refuse.call(), Set.of())
                            .isEmpty()) {
                violations.add(location + "call " + refuse.call() + " has the outcome not run but may have run");
            }
        } else if (decision instanceof Decision.Apply apply) {
            checkRevision(apply.configuration().configuration(), location);
        }
    }

    /**
     * Checks that a request that is not idempotent proceeds at most once and that no request proceeds after its final
     * answer. Attempts that started before an incomplete trace are ignored.
     *
     * @param proceed the decision
     * @param location the line of the decision in the trace, as a prefix of descriptions
     */
    private void checkProceed(Decision.Proceed proceed, String location) {
        Long call = callByAttempt.get(proceed.attempt());
        if (call == null) {
            return;
        }
        possiblyRunAttempts.computeIfAbsent(call, key -> new HashSet<>()).add(proceed.attempt());
        int count = proceedCounts.merge(call, 1, Integer::sum);
        Arrival arrival = arrivals.get(call);
        if (count > 1 && arrival != null && !idempotent(arrival)) {
            violations.add(location + "call " + call + " is not idempotent but proceeds a second time");
        }
        if (answeredCalls.contains(call)) {
            violations.add(location + "call " + call + " proceeds after its final answer");
        }
    }

    /**
     * Returns whether a request is idempotent under the configuration in force. The route decides, and without a route
     * the method.
     *
     * @param arrival the request
     * @return {@code true} if the request may run more than once
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
     * Checks that a call has only one final answer.
     *
     * @param call the identifier of the call
     * @param location the line of the decision in the trace, as a prefix of descriptions
     */
    private void checkSingleFinalAnswer(long call, String location) {
        if (!answeredCalls.add(call)) {
            violations.add(location + "call " + call + " has a second final answer");
        }
    }

    /**
     * Checks that the revision of the configuration in force never decreases.
     *
     * @param next the configuration that is applied
     * @param location the line of the decision in the trace, as a prefix of descriptions
     */
    private void checkRevision(Configuration next, String location) {
        if (next.revision() < configuration.revision()) {
            violations.add(location + "revision " + next.revision() + " is applied after " + configuration.revision());
        }
        configuration = next;
    }
}
