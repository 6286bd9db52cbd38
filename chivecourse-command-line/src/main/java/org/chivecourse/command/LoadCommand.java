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

/** Generates load, verifies every answer and prints the results and the latencies. */
@Command(
        name = "load",
        description =
                "Generates load at a planned rate and verifies every answer; exits with 1 on a violated guarantee.",
        mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {

    /** The maximum time to read the number of runs from a backend server. */
    private static final Duration RUN_COUNTS_TIMEOUT = Duration.ofSeconds(10);

    /** The number of microseconds in a millisecond. */
    private static final double MICROSECONDS_PER_MILLISECOND = 1000.0;

    /** The addresses that requests are sent to. */
    @Option(names = "--target", required = true, split = ",", description = "The addresses of gateways.")
    private List<String> targets;

    /** The readiness endpoints in the order of the targets, one empty item if absent. */
    @Option(
            names = "--ready",
            split = ",",
            defaultValue = "",
            description = "The operators' addresses of the gateways in the same order, to send only to ready gateways.")
    private List<String> ready;

    /** The backend servers whose number of runs is verified, one empty item if absent. */
    @Option(
            names = "--backend-server",
            split = ",",
            defaultValue = "",
            description = "The addresses of simulated backend servers, whose number of runs is verified.")
    private List<String> servers;

    /** The path prefixes of services. */
    @Option(names = "--path", split = ",", defaultValue = "/jobs", description = "The path prefixes of services.")
    private List<String> paths;

    /** The mean number of requests a second over all targets. */
    @Option(names = "--rate", defaultValue = "100", description = "Requests a second (default: ${DEFAULT-VALUE}).")
    private double rate;

    /** The time during which requests are started. */
    @Option(
            names = "--seconds",
            defaultValue = "5",
            description = "The duration of the load in seconds (default: ${DEFAULT-VALUE}).")
    private int seconds;

    /** The time at the start that is not included in the latencies. */
    @Option(
            names = "--warm-up-seconds",
            defaultValue = "0",
            description = "The seconds at the start that latencies exclude.")
    private int warmUpSeconds;

    /** The share of non-idempotent requests in percent. */
    @Option(names = "--write-percent", defaultValue = "20", description = "The percentage of non-idempotent requests.")
    private int writePercent;

    /** The seed of arrival times, which is also part of the request identifiers. */
    @Option(names = "--seed", defaultValue = "1", description = "The seed of arrival times.")
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
     * Prints percentiles of latencies.
     *
     * @param name the target, or {@code all}
     * @param latencies the latencies in microseconds, {@code null} if no request was answered
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
     * Reads the number of runs of each request from all backend servers and adds them up.
     *
     * @return the number of runs by request identifier
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
     * Returns a list without empty items, since an absent option has a single empty item as its default.
     *
     * @param list the list
     */
    private static List<String> withoutEmpty(List<String> list) {
        return list.stream().filter(item -> !item.isEmpty()).toList();
    }
}
