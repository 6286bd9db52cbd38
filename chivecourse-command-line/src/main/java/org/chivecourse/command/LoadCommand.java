package org.chivecourse.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import org.HdrHistogram.AbstractHistogram;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.standin.load.LoadGenerator;
import org.chivecourse.standin.load.LoadPlan;
import org.chivecourse.standin.load.LoadTestReport;
import org.chivecourse.standin.load.Result;
import org.chivecourse.transport.http.BackendConnections;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reactor.netty.http.client.HttpClient;

/** Generates load and checks every answer. */
@Command(
        name = "load",
        description = "Generates load at a planned rate and checks every answer; exits with 1 if a promise broke.",
        mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {

    /** The time for the records of runs to be read. */
    private static final Duration RUN_COUNTS_TIMEOUT = Duration.ofSeconds(10);

    /** The number of microseconds in a millisecond. */
    private static final double MICROSECONDS_PER_MILLISECOND = 1000.0;

    /** The targets. */
    @Option(names = "--target", required = true, split = ",", description = "The addresses of gateways.")
    private List<String> targets;

    /** The readiness endpoints. */
    @Option(
            names = "--ready",
            split = ",",
            defaultValue = "",
            description = "The operators' addresses of the gateways in the same order, to send only to ready ones.")
    private List<String> ready;

    /** The backend servers. */
    @Option(
            names = "--backend-server",
            split = ",",
            defaultValue = "",
            description = "The addresses of stand-ins of backend servers, whose records of runs are checked.")
    private List<String> servers;

    /** The paths. */
    @Option(names = "--path", split = ",", defaultValue = "/jobs", description = "The paths of services.")
    private List<String> paths;

    /** The rate. */
    @Option(names = "--rate", defaultValue = "100", description = "Requests a second, ${DEFAULT-VALUE} if not given.")
    private double rate;

    /** The time. */
    @Option(names = "--seconds", defaultValue = "5", description = "The time, ${DEFAULT-VALUE} if not given.")
    private int seconds;

    /** The time at the start that is not timed. */
    @Option(names = "--warm-up-seconds", defaultValue = "0", description = "The time at the start that is not timed.")
    private int warmUpSeconds;

    /** The share of non-idempotent requests. */
    @Option(names = "--write-percent", defaultValue = "20", description = "The share of non-idempotent requests.")
    private int writePercent;

    /** The seed. */
    @Option(names = "--seed", defaultValue = "1", description = "The seed of arrivals.")
    private long seed;

    @Override
    public Integer call() {
        LoadPlan plan = new LoadPlan(
                targets,
                withoutEmpty(ready),
                paths,
                rate,
                Duration.ofSeconds(seconds),
                Duration.ofSeconds(warmUpSeconds),
                writePercent,
                Duration.ofSeconds(20),
                seed,
                "load" + seed);
        LoadTestReport report = new LoadGenerator(plan).run();
        for (Map.Entry<Result, Integer> count : report.resultCounts().entrySet()) {
            System.out.println(count.getKey() + " " + count.getValue());
        }
        printLatencies("all", report.latencies());
        if (targets.size() > 1) {
            targets.forEach(
                    target -> printLatencies(target, report.latenciesByTarget().get(target)));
        }
        if (withoutEmpty(servers).isEmpty()) {
            return ExitCode.SUCCESS;
        }
        Map<String, Integer> runCounts = fetchRunCounts();
        Set<String> violations = report.violations(request -> runCounts.getOrDefault(request, 0));
        System.out.println("broken promises " + violations.size());
        violations.stream().limit(20).forEach(System.out::println);
        return violations.isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }

    /**
     * Prints the times of answers.
     *
     * @param name the target, or all
     * @param latencies the times in microseconds, {@code null} if there was no answer
     */
    private static void printLatencies(String name, AbstractHistogram latencies) {
        if (latencies == null) {
            System.out.println(name + " no answer");
            return;
        }
        System.out.printf(
                Locale.ROOT,
                "%s p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms%n",
                name,
                latencies.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
                latencies.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
                latencies.getValueAtPercentile(99.9) / MICROSECONDS_PER_MILLISECOND);
    }

    /**
     * Reads how often each request ran from all backend servers.
     *
     * @return the number of runs by request
     */
    private Map<String, Integer> fetchRunCounts() {
        Map<String, Integer> runCounts = new HashMap<>();
        for (String server : withoutEmpty(servers)) {
            String text = HttpClient.create()
                    .remoteAddress(() -> BackendConnections.unresolvedAddress(server))
                    .get()
                    .uri(BackendServerStandIn.RUNS_PATH)
                    .responseSingle((response, body) -> body.asString())
                    .defaultIfEmpty("")
                    .block(RUN_COUNTS_TIMEOUT);
            text.lines().forEach(line -> {
                int space = line.lastIndexOf(' ');
                runCounts.merge(line.substring(0, space), Integer.parseInt(line.substring(space + 1)), Integer::sum);
            });
        }
        return runCounts;
    }

    /**
     * Returns a list without the empty item that stands for an absent option.
     *
     * @param list the list
     * @return the list without empty items
     */
    private static List<String> withoutEmpty(List<String> list) {
        return list.stream().filter(item -> !item.isEmpty()).toList();
    }
}
