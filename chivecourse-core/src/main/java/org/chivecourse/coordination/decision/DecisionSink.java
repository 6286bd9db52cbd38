package org.chivecourse.coordination.decision;

/** Receives the decisions that result from an event, in the order in which to execute them. */
@FunctionalInterface
public interface DecisionSink {

    /**
     * Receives a decision.
     *
     * @param decision the decision
     */
    void decide(Decision decision);
}
