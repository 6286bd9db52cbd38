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

/** Measures variants side by side. */
@Command(
        name = "bench",
        description = "Measures ways of working side by side on loopback; exits with 1 if a promise broke.",
        mixinStandardHelpOptions = true)
public final class BenchCommand implements Callable<Integer> {

    /** The service. */
    @Option(names = "--service", defaultValue = "JOBS", description = "One of ${COMPLETION-CANDIDATES}.")
    private ServiceShape shape;

    /** The scenario. */
    @Option(names = "--scenario", defaultValue = "STRAGGLERS", description = "One of ${COMPLETION-CANDIDATES}.")
    private Scenario scenario;

    /** The variants. */
    @Option(
            names = "--variant",
            split = ",",
            defaultValue = "POWER_OF_TWO,LEAST_IN_FLIGHT",
            description = "Some of ${COMPLETION-CANDIDATES}, the first as the base of ratios.")
    private List<Variant> variants;

    /** The utilisation. */
    @Option(names = "--utilisation", defaultValue = "80", description = "The share of busy slots in percent.")
    private int utilisation;

    /** The number of gateways. */
    @Option(names = "--gateways", defaultValue = "3", description = "The number of gateways.")
    private int gateways;

    /** The number of rounds. */
    @Option(names = "--rounds", defaultValue = "5", description = "The number of rounds.")
    private int rounds;

    /** The time of each measurement. */
    @Option(names = "--seconds", defaultValue = "4", description = "The time of each measurement.")
    private int seconds;

    /** The seed. */
    @Option(names = "--seed", defaultValue = "1", description = "The seed.")
    private long seed;

    /** Whether backend servers answer at once. */
    @Option(names = "--instant", description = "Let backend servers answer at once, for the time that gateways add.")
    private boolean instant;

    /** The measuring budget. */
    @Option(
            names = "--probes",
            defaultValue = "-1",
            description =
                    "Probes a second over all gateways in place of the service's budget, for variants that probe.")
    private int probesPerSecond;

    /** The rate. */
    @Option(names = "--rate", defaultValue = "0", description = "Requests a second in place of a utilisation.")
    private double rate;

    /** The folder for results. */
    @Option(names = "--output", description = "The folder for JSON and a plot.")
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
     * Prints a result as it is found.
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
