package org.chivecourse.coordination.decision;

/** Receives the decisions that follow from an event, in their order. */
@FunctionalInterface
public interface DecisionSink {

    /**
     * Receives a decision.
     *
     * @param decision the decision
     */
    void decide(Decision decision);
}
