package org.chivecourse.command.bench;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import org.chivecourse.command.fleet.LocalFleet;
import org.chivecourse.gateway.log.JsonLogging;
import org.chivecourse.standin.deployment.ServiceShape;
import org.chivecourse.standin.load.LoadGenerator;
import org.chivecourse.standin.load.LoadPlan;
import org.chivecourse.standin.load.LoadTestReport;
import org.chivecourse.standin.load.Result;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures whether a service recovers from an overload when its cause has ended. */
@Command(
        name = "bench-recovery",
        description = "Loads a service below, above and again below its capacity, and prints each slice.",
        mixinStandardHelpOptions = true)
public final class RecoveryCommand implements Callable<Integer> {

    /** The load of each slice, in percent of the capacity of all slots. */
    private static final List<Integer> SLICE_LOADS_PERCENT = List.of(60, 60, 60, 200, 200, 200, 60, 60, 60, 60);

    /** The number of gateways. */
    private static final int GATEWAY_COUNT = 3;

    /** The share of non-idempotent requests in percent. */
    private static final int WRITE_PERCENT = 20;

    /** The seed of arrivals, service times and gateways. */
    @Option(names = "--seed", defaultValue = "1", description = "The seed of arrivals, service times and gateways.")
    private long seed;

    /** The duration of each slice. */
    @Option(names = "--seconds", defaultValue = "1", description = "The duration of each slice in seconds.")
    private int seconds;

    /** Creates the command. */
    public RecoveryCommand() {}

    @Override
    public Integer call() throws Exception {
        JsonLogging.logWarningsOnly();
        ServiceShape shape = ServiceShape.JOBS;
        int violations = 0;
        try (LocalFleet fleet =
                new LocalFleet(List.of(shape), UnaryOperator.identity(), UnaryOperator.identity(), seed)) {
            for (int index = 0; index < GATEWAY_COUNT; index++) {
                fleet.startGateway("si-" + (char) ('a' + index), GATEWAY_COUNT, "least-estimate");
            }
            System.out.println("operators " + LocalFleet.operatorAddresses(fleet.gateways()));
            for (int slice = 0; slice < SLICE_LOADS_PERCENT.size(); slice++) {
                LoadTestReport report = new LoadGenerator(createLoadPlan(fleet, shape, slice)).run();
                violations += report.violations(fleet.runCounts()::runCount).size();
                printSlice(slice, report);
            }
        }
        System.out.println("broken promises " + violations);
        return violations == 0 ? 0 : 1;
    }

    /**
     * Creates the load plan of a slice.
     *
     * @param fleet the fleet
     * @param shape the service
     * @param slice the index of the slice
     * @return the load plan
     */
    private LoadPlan createLoadPlan(LocalFleet fleet, ServiceShape shape, int slice) {
        return new LoadPlan(
                LocalFleet.callerAddresses(fleet.gateways()),
                List.of(),
                List.of("/" + shape.serviceName()),
                shape.capacity() * SLICE_LOADS_PERCENT.get(slice) / 100,
                Duration.ofSeconds(seconds),
                Duration.ZERO,
                WRITE_PERCENT,
                Duration.ofSeconds(20),
                seed * 100 + slice,
                "slice-" + slice);
    }

    /**
     * Prints the results of a slice.
     *
     * @param slice the index of the slice
     * @param report the results
     */
    private static void printSlice(int slice, LoadTestReport report) {
        int answered = report.resultCounts().getOrDefault(Result.ANSWERED, 0);
        int all = report.resultCounts().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        System.out.printf(
                Locale.ROOT,
                "slice %2d load %3d%% answered %5.1f%% p50 %7.2f ms p99 %7.2f ms %s%n",
                slice,
                SLICE_LOADS_PERCENT.get(slice),
                100.0 * answered / all,
                report.latencies().getValueAtPercentile(50) / 1000.0,
                report.latencies().getValueAtPercentile(99) / 1000.0,
                report.resultCounts());
    }
}
