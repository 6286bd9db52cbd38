package org.chivecourse.coordination.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;

/** Simulates the calls that gateways forward to each other. */
final class SimulatedForwarding {

    private static final String IDENTITY_PREFIX = "gateway/";

    private final FleetNetwork network;

    /** The attempts at the gateways that forwarded a call, by the call at the gateway that took it. */
    private final Map<HostNumber, HostNumber> attempts = new HashMap<>();

    /** The calls at the gateways that took them, by the attempt at the gateway that forwarded them. */
    private final Map<HostNumber, HostNumber> calls = new HashMap<>();

    SimulatedForwarding(FleetNetwork network) {
        this.network = network;
    }

    /**
     * Lets a call arrive at the gateway that it is forwarded to, which has to be running.
     *
     * @param original the call as it arrived at the gateway that forwards it
     * @param number the number of the call at the other gateway
     * @return the call at the other gateway, {@code null} if that is down
     */
    HostNumber forward(String host, Decision.Send send, Arrival original, long number) {
        String target = send.address().substring(IDENTITY_PREFIX.length());
        if (!network.isRunning(target)) {
            network.scheduleEvent(host, new Event.AttemptBroken(send.attempt(), "gone"), 1);
            return null;
        }
        HostNumber call = new HostNumber(target, number);
        HostNumber attempt = new HostNumber(host, send.attempt());
        attempts.put(call, attempt);
        calls.put(attempt, call);
        Arrival arrival = new Arrival(
                original.method(),
                original.path(),
                send.deadline() - network.now(),
                1,
                true,
                "",
                -1,
                original.fingerprint(),
                original.host(),
                send.forwardedAttempts());
        network.scheduleEvent(target, new Event.CallArrived(number, arrival), 1);
        return call;
    }

    /** Returns whether a call was forwarded to the gateway that has it, and has no answer yet. */
    boolean isForwarded(HostNumber call) {
        return attempts.containsKey(call);
    }

    /** Passes a backend server's answer to a forwarded call back. Does nothing for any other call. */
    void deliver(HostNumber call, int status) {
        answer(call, new Event.AnswerHead(status, false, false, null));
    }

    /** Passes the refusal of a forwarded call back. */
    void refuse(HostNumber call, Decision.Refusal refusal) {
        boolean notRun = refusal.outcome() == Outcome.NOT_RUN;
        answer(call, new Event.AnswerHead(refusal.reason().status(), notRun, false, null));
    }

    private void answer(HostNumber call, Event.AnswerHead head) {
        HostNumber attempt = attempts.remove(call);
        if (attempt != null && network.isRunning(attempt.host())) {
            network.scheduleEvent(attempt.host(), new Event.AnswerStarted(attempt.number(), head), 1);
        }
    }

    /** Tells the gateway that took a call that the other one no longer waits for it. */
    void drop(HostNumber attempt) {
        HostNumber call = calls.get(attempt);
        if (call != null && network.isRunning(call.host())) {
            network.scheduleEvent(call.host(), new Event.CallerDisconnected(call.number()), 1);
        }
    }

    /** Ends the forwarded calls of a gateway that has been restarted, and those that it had taken. */
    void forget(String host) {
        attempts.values().removeIf(attempt -> attempt.host().equals(host));
        calls.keySet().removeIf(attempt -> attempt.host().equals(host));
        List<HostNumber> lost = attempts.keySet().stream()
                .filter(call -> call.host().equals(host))
                .toList();
        for (HostNumber call : lost) {
            HostNumber attempt = attempts.remove(call);
            network.scheduleEvent(attempt.host(), new Event.AttemptBroken(attempt.number(), "restarted"), 1);
        }
    }
}
