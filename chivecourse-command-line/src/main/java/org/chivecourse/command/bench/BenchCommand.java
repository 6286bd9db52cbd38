package org.chivecourse.command.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.chivecourse.gateway.log.JsonLogging;
import org.chivecourse.standin.deployment.ServiceShape;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares variants under the same load. */
@Command(
        name = "bench",
        description = "Compares variants under the same load on loopback; exits with 1 on a violated guarantee.",
        mixinStandardHelpOptions = true)
public final class BenchCommand implements Callable<Integer> {

    /** The service. */
    @Option(names = "--service", defaultValue = "JOBS", description = "One of ${COMPLETION-CANDIDATES}.")
    private ServiceShape shape;

    /** The faults that backend servers have during the measurements. */
    @Option(names = "--scenario", defaultValue = "STRAGGLERS", description = "One of ${COMPLETION-CANDIDATES}.")
    private Scenario scenario;

    /** The variants to compare; the first one is the baseline. */
    @Option(
            names = "--variant",
            split = ",",
            defaultValue = "POWER_OF_TWO,LEAST_IN_FLIGHT",
            description = "Some of ${COMPLETION-CANDIDATES}; the first one is the baseline.")
    private List<Variant> variants;

    /** The share of busy slots in percent, from which the load is derived. */
    @Option(names = "--utilisation", defaultValue = "80", description = "The share of busy slots in percent.")
    private int utilisation;

    /** The number of gateways. */
    @Option(names = "--gateways", defaultValue = "3", description = "The number of gateways.")
    private int gateways;

    /** The number of measurements of each variant. */
    @Option(names = "--rounds", defaultValue = "5", description = "The number of measurements of each variant.")
    private int rounds;

    /** The duration of each measurement. */
    @Option(names = "--seconds", defaultValue = "4", description = "The duration of each measurement in seconds.")
    private int seconds;

    /** The seed of arrivals, service times and faults. */
    @Option(names = "--seed", defaultValue = "1", description = "The seed of arrivals, service times and faults.")
    private long seed;

    /** Whether backend servers answer without service time, to measure the latency that gateways add. */
    @Option(names = "--instant", description = "Remove service times, to measure the latency that gateways add.")
    private boolean instant;

    /** The measuring budget over all gateways, negative for the service's own. */
    @Option(
            names = "--probes",
            defaultValue = "-1",
            description = "Probes a second over all gateways instead of the service's budget, for variants that probe.")
    private int probesPerSecond;

    /** The number of requests a second, zero to derive it from the utilisation. */
    @Option(names = "--rate", defaultValue = "0", description = "Requests a second instead of a utilisation.")
    private double rate;

    /** The folder for the JSON results and the plot, {@code null} for none. */
    @Option(names = "--output", description = "The folder for the JSON results and the plot.")
    private Path output;

    /** Creates the command. */
    public BenchCommand() {}

    @Override
    public Integer call() throws Exception {
        JsonLogging.logWarningsOnly();
        BenchPlan plan = new BenchPlan(
                shape,
                scenario,
                variants,
                utilisation,
                gateways,
                rounds,
                Duration.ofSeconds(seconds),
                seed,
                instant,
                probesPerSecond,
                rate);
        List<SliceResult> results = new BenchRunner(plan).run(BenchCommand::print);
        BenchReport report = new BenchReport(plan, results);
        System.out.print(report.formatTable());
        if (output != null) {
            Files.createDirectories(output);
            String name = String.format(
                    Locale.ROOT,
                    "%s-%s-%d",
                    plan.shape().serviceName(),
                    scenario.name().toLowerCase(Locale.ROOT),
                    seed);
            Files.writeString(output.resolve(name + ".json"), report.toJson());
            BenchPlot.write(plan, results, output.resolve(name));
        }
        return results.stream().allMatch(result -> result.violations() == 0) ? 0 : 1;
    }

    /**
     * Prints a result when its measurement has ended.
     *
     * @param result the result
     */
    private static void print(SliceResult result) {
        System.out.printf(
                Locale.ROOT,
                "round %d %-20s p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, load %.1f, %s%n",
                result.round(),
                result.variant(),
                result.p50Milliseconds(),
                result.p99Milliseconds(),
                result.p999Milliseconds(),
                result.loadAverage(),
                result.results());
    }
}
