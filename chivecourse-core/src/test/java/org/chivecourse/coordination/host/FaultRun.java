package org.chivecourse.coordination.host;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;

/** Drives a call to a step of its course, at which faults are injected, and then to its end. */
final class FaultRun {

    private final CoreHarness harness = new CoreHarness(ChoicePolicy.LEAST_ESTIMATE, 1);

    private final Arrival arrival;

    private Service service = CoreHarness.jobsService(3);

    private long revision = 2;

    private long call;

    /** The open attempts, each with whether the core let it proceed. */
    private final Map<Decision.Send, Boolean> attempts = new LinkedHashMap<>();

    FaultRun(boolean order) {
        Method method = order ? Method.POST : Method.GET;
        String path = order ? "/jobs/orders" : "/jobs/lookups/1";
        arrival = new Arrival(method, path, 0, 0, true, "", 77);
        harness.configure(revision, service);
    }

    CoreHarness harness() {
        return harness;
    }

    Service service() {
        return service;
    }

    long revision() {
        return revision;
    }

    long call() {
        return call;
    }

    void arrive() {
        call = harness.arrive(arrival);
        trackAttempts();
    }

    void resend() {
        harness.arrive(arrival);
        trackAttempts();
    }

    /** Adds the attempts that the last event started and removes those that it dropped or withdrew. */
    private void trackAttempts() {
        harness.decisions(Decision.Send.class).forEach(send -> attempts.put(send, false));
        harness.decisions(Decision.Drop.class)
                .forEach(drop -> attempts.keySet().removeIf(send -> send.attempt() == drop.attempt()));
        harness.decisions(Decision.Withdraw.class)
                .forEach(withdraw -> attempts.keySet().removeIf(send -> send.attempt() == withdraw.attempt()));
    }

    private Decision.Send latestAttempt() {
        List<Decision.Send> all = new ArrayList<>(attempts.keySet());
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    String address() {
        Decision.Send send = latestAttempt();
        return send == null ? "10.0.0.1:80" : send.address();
    }

    void connect() {
        Decision.Send send = latestAttempt();
        if (send == null || attempts.get(send)) {
            return;
        }
        boolean proceeds = harness.connect(send);
        if (proceeds) {
            attempts.put(send, true);
        }
        trackAttempts();
    }

    void answerHead(Event.AnswerHead head) {
        connect();
        Decision.Send send = latestAttempt();
        if (send != null && attempts.get(send)) {
            harness.handle(new Event.AnswerStarted(send.attempt(), head));
            trackAttempts();
        }
    }

    void failAttempt(boolean unsent) {
        Decision.Send send = latestAttempt();
        if (send == null) {
            return;
        }
        boolean proceeded = attempts.remove(send);
        harness.handle(
                proceeded || !unsent
                        ? new Event.AttemptBroken(send.attempt(), "reset")
                        : new Event.AttemptUnsent(send.attempt(), "refused"));
        trackAttempts();
    }

    void fillSlots() {
        for (int count = 0; count < 5; count++) {
            harness.arrive(Method.GET, "/jobs/lookups/full" + count);
            trackAttempts();
        }
    }

    void configure(Service changed) {
        service = changed;
        harness.configure(++revision, changed);
        trackAttempts();
    }

    /** Completes every open attempt with an answer and lets all deadlines pass. */
    void finish() {
        for (int round = 0; round < 50 && !attempts.isEmpty(); round++) {
            answerHead(new Event.AnswerHead(200, false, false, null));
            Decision.Send send = latestAttempt();
            if (send != null && attempts.get(send)) {
                attempts.remove(send);
                harness.handle(new Event.AnswerCompleted(send.attempt()));
                trackAttempts();
            }
        }
        harness.advance(3000);
    }
}
