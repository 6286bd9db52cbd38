package org.chivecourse.coordination.host;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.trace.Trace;
import org.chivecourse.protocol.trace.TraceRecorder;

/** Drives a decision core in virtual time and records its trace. */
public final class CoreHarness {

    public static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private static final int MAXIMUM_TRACE_STEPS = 100_000;

    private final HostCore core;

    private final TraceRecorder recorder;

    private long now = 1_000 * NANOSECONDS_PER_MILLISECOND;

    private long lastCall;

    private List<Decision> lastDecisions = List.of();

    public CoreHarness(ChoicePolicy policy, long seed) {
        HostSettings settings = new HostSettings("host-1", "si-a", 2, policy, 1000);
        core = new HostCore(settings, new SplittableRandom(seed));
        recorder = new TraceRecorder(settings, seed, MAXIMUM_TRACE_STEPS);
    }

    public static CoreHarness withService(Service service) {
        CoreHarness harness = new CoreHarness(ChoicePolicy.LEAST_ESTIMATE, 1);
        harness.configure(1, service);
        return harness;
    }

    /** Returns a service with backend servers of one slot each. Lookups have up to three attempts, orders one. */
    public static Service jobsService(int servers) {
        Service service = Service.named("jobs")
                .refusal(new RefusalSignal(503, "Refused", "yes"))
                .route(Route.of("/jobs/lookups", Method.GET).attempts(3).hedging())
                .route(Route.of("/jobs/orders", Method.POST));
        for (int index = 1; index <= servers; index++) {
            service = service.backendServer(
                    BackendServer.at("10.0.0." + index + ":80").in("si-a").slots(1));
        }
        return service;
    }

    public List<Decision> configure(long revision, Service service) {
        String text = new ConfigurationWriter()
                .printUnchecked(Configuration.revision(revision).service(service));
        try {
            return handle(new Event.ConfigurationRead(new ConfigurationReader().read("test", text), "test"));
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    public List<Decision> handle(Event event) {
        List<Decision> decisions = new ArrayList<>();
        core.handle(event, now, decisions::add);
        recorder.record(now, event, decisions);
        lastDecisions = decisions;
        return decisions;
    }

    /** Advances the time with a tick every five milliseconds. */
    public List<Decision> advance(long milliseconds) {
        List<Decision> all = new ArrayList<>();
        for (long passed = 0; passed < milliseconds; passed += 5) {
            now += 5 * NANOSECONDS_PER_MILLISECOND;
            all.addAll(handle(new Event.TimePassed()));
        }
        lastDecisions = all;
        return all;
    }

    /** Advances the time without ticks, as for a process that was suspended, followed by a single tick. */
    public List<Decision> advanceWithoutTicks(long milliseconds) {
        now += milliseconds * NANOSECONDS_PER_MILLISECOND;
        return handle(new Event.TimePassed());
    }

    public long arrive(Method method, String path) {
        return arrive(new Arrival(method, path, 0, 0, true, "", path.hashCode()));
    }

    public long arrive(Arrival arrival) {
        handle(new Event.CallArrived(++lastCall, arrival));
        return lastCall;
    }

    /** Returns the only decision of a type that the last action caused; fails if there is not exactly one. */
    public <T extends Decision> T onlyDecision(Class<T> type) {
        List<T> found = decisions(type);
        if (found.size() != 1) {
            throw new AssertionError("expected one " + type.getSimpleName() + " in " + lastDecisions);
        }
        return found.get(0);
    }

    public <T extends Decision> List<T> decisions(Class<T> type) {
        return lastDecisions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Reports that an attempt is connected and returns whether the core let it proceed. */
    public boolean connect(Decision.Send send) {
        handle(new Event.AttemptReady(send.attempt()));
        return !decisions(Decision.Proceed.class).isEmpty();
    }

    public List<Decision> answer(Decision.Send send, int status) {
        return handle(new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(status, false, false, null)));
    }

    public List<Decision> refuse(Decision.Send send) {
        return handle(new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(503, true, false, null)));
    }

    public List<Decision> breakConnection(Decision.Send send) {
        return handle(new Event.AttemptBroken(send.attempt(), "reset"));
    }

    public HostCore core() {
        return core;
    }

    public long now() {
        return now;
    }

    public Trace trace() {
        return recorder.trace();
    }
}
