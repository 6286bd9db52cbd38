package org.chivecourse.command.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.state.server.LoadReport;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time and the allocation of decisions for services of different sizes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {

    /** The virtual time between two events. */
    private static final long EVENT_INTERVAL_NANOSECONDS = 1000;

    /** The number of backend servers of the service. */
    @Param({"16", "128", "780"})
    private int servers;

    /** The decision core. */
    private HostCore core;

    /** The source of randomness of the core and of the reported loads. */
    private final SplittableRandom random = new SplittableRandom(1);

    /** The decisions of the last event. */
    private final List<Decision> decisions = new ArrayList<>();

    /** The virtual time in nanoseconds. */
    private long now;

    /** The identifier of the last call. */
    private long call;

    /** Creates a benchmark. */
    public DecisionBenchmark() {}

    /** Configures a service and records a load report of each backend server. */
    @Setup
    public void configure() {
        HostSettings settings = new HostSettings("host", "si-a", 14, ChoicePolicy.LEAST_ESTIMATE, 100_000);
        core = new HostCore(settings, random);
        Service service = Service.named("jobs")
                .route(Route.of("/jobs", Method.GET).attempts(3).hedging());
        for (int index = 0; index < servers; index++) {
            service = service.backendServer(BackendServer.at("10.0." + index / 250 + "." + index % 250 + ":80")
                    .in("si-a"));
        }
        Configuration configuration = Configuration.revision(1).service(service);
        String text = new ConfigurationWriter().printUnchecked(configuration);
        LoadedConfiguration read = new LoadedConfiguration(new PrintedConfiguration(configuration, text), List.of());
        core.handle(new Event.ConfigurationRead(read, "bench"), now, decisions::add);
        core.services()
                .service("jobs")
                .servers()
                .forEach(server -> server.recordReport(new LoadReport(random.nextInt(4), 4), now));
    }

    /**
     * Measures a call that arrives and whose caller then disconnects.
     *
     * @return the number of decisions of the last event
     */
    @Benchmark
    public int choiceAndEnd() {
        handle(new Event.CallArrived(++call, new Arrival(Method.GET, "/jobs/lookups")));
        handle(new Event.CallerDisconnected(call));
        return decisions.size();
    }

    /**
     * Measures a call from its arrival to the end of its answer, in four events.
     *
     * @return the number of decisions of the last event
     */
    @Benchmark
    public int wholeCall() {
        handle(new Event.CallArrived(++call, new Arrival(Method.GET, "/jobs/lookups")));
        long attempt = ((Decision.Send) decisions.get(0)).attempt();
        handle(new Event.AttemptReady(attempt));
        handle(new Event.AnswerStarted(attempt, new Event.AnswerHead(200, false, false, null)));
        handle(new Event.AnswerCompleted(attempt));
        return decisions.size();
    }

    /**
     * Advances the virtual time and lets the core handle an event.
     *
     * @param event the event
     */
    private void handle(Event event) {
        now += EVENT_INTERVAL_NANOSECONDS;
        decisions.clear();
        core.handle(event, now, decisions::add);
    }
}
