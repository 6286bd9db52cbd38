package org.chivecourse.command.demo;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.chivecourse.command.fleet.LocalFleet;
import org.chivecourse.gateway.daemon.Gateway;
import org.chivecourse.gateway.log.JsonLogging;
import org.chivecourse.standin.deployment.ServiceShape;
import org.chivecourse.standin.load.LoadGenerator;
import org.chivecourse.standin.load.LoadPlan;
import org.chivecourse.standin.load.LoadTestReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs gateways, simulated services and a low load in one process. */
@Command(
        name = "demo",
        description = "Starts three gateways, simulated services of both deployments and a low load on loopback.",
        mixinStandardHelpOptions = true)
public final class DemoCommand implements Callable<Integer> {

    /** The number of gateways. */
    private static final int GATEWAY_COUNT = 3;

    /** The mean load over all gateways. */
    private static final double REQUESTS_PER_SECOND = 50;

    /** The share of non-idempotent requests in percent. */
    private static final int WRITE_PERCENT = 20;

    /** The time between two updates of the progress line. */
    private static final long PROGRESS_INTERVAL_MILLISECONDS = 1000;

    /** The time for which the demonstration runs. */
    @Option(
            names = "--seconds",
            defaultValue = "3600",
            description = "The duration of the demonstration in seconds (default: ${DEFAULT-VALUE}).")
    private int seconds;

    /** The seed of arrivals, service times and gateways. */
    @Option(names = "--seed", defaultValue = "1", description = "The seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    /** Creates the command. */
    public DemoCommand() {}

    @Override
    public Integer call() throws Exception {
        JsonLogging.logWarningsOnly();
        List<ServiceShape> shapes = List.of(ServiceShape.values());
        try (LocalFleet fleet = new LocalFleet(shapes, UnaryOperator.identity(), UnaryOperator.identity(), seed)) {
            for (int index = 0; index < GATEWAY_COUNT; index++) {
                fleet.startGateway("si-" + (char) ('a' + index), GATEWAY_COUNT, "least-estimate");
            }
            printAddresses(fleet);
            return printReport(fleet, awaitLoad(fleet, startLoad(fleet)));
        }
    }

    /**
     * Prints the addresses of the fleet and commands to try.
     *
     * @param fleet the fleet
     */
    private static void printAddresses(LocalFleet fleet) {
        for (Gateway gateway : fleet.gateways()) {
            System.out.println("gateway: callers 127.0.0.1:" + gateway.callerPort() + ", operators 127.0.0.1:"
                    + gateway.operatorPort());
        }
        System.out.println(
                "configuration service: " + fleet.configurationService().address());
        int port = fleet.gateways().get(0).callerPort();
        System.out.println("try: curl -i -H 'Request-Id: mine' http://127.0.0.1:" + port + "/jobs/lookups/7");
        System.out.println(
                "try: ./chivecourse status 127.0.0.1:" + fleet.gateways().get(0).operatorPort());
    }

    /**
     * Starts the load on another thread.
     *
     * @param fleet the fleet
     * @return completes with the results when the load has ended
     */
    private CompletableFuture<LoadTestReport> startLoad(LocalFleet fleet) {
        LoadPlan plan = new LoadPlan(
                LocalFleet.callerAddresses(fleet.gateways()),
                LocalFleet.operatorAddresses(fleet.gateways()),
                Arrays.stream(ServiceShape.values())
                        .map(shape -> "/" + shape.serviceName())
                        .toList(),
                REQUESTS_PER_SECOND,
                Duration.ofSeconds(seconds),
                Duration.ZERO,
                WRITE_PERCENT,
                Duration.ofSeconds(20),
                seed,
                "demo");
        LoadGenerator generator = new LoadGenerator(plan);
        return CompletableFuture.supplyAsync(generator::run);
    }

    /**
     * Prints progress until the load has ended.
     *
     * @param fleet the fleet
     * @param load completes with the results when the load has ended
     * @return the results
     * @throws InterruptedException if the thread is interrupted
     */
    private static LoadTestReport awaitLoad(LocalFleet fleet, CompletableFuture<LoadTestReport> load)
            throws InterruptedException {
        long start = System.nanoTime();
        while (!load.isDone()) {
            Thread.sleep(PROGRESS_INTERVAL_MILLISECONDS);
            long open = fleet.gateways().stream().mapToLong(Gateway::openCalls).sum();
            long elapsed = Duration.ofNanos(System.nanoTime() - start).toSeconds();
            System.out.print("\r" + elapsed + " s, open calls " + open + "   ");
            System.out.flush();
        }
        System.out.println();
        return load.join();
    }

    /**
     * Prints the results of the load and the guarantees that were violated.
     *
     * @param fleet the fleet
     * @param report the results
     * @return the exit code, zero if no guarantee was violated
     */
    private static int printReport(LocalFleet fleet, LoadTestReport report) {
        System.out.println("results " + report.resultCounts());
        System.out.printf(
                "p50 %.2f ms, p99 %.2f ms%n",
                report.latencies().getValueAtPercentile(50) / 1000.0,
                report.latencies().getValueAtPercentile(99) / 1000.0);
        Set<String> violations = report.violations(fleet.runCounts()::runCount);
        violations.forEach(line -> System.out.println("BROKEN: " + line));
        System.out.println(violations.isEmpty() ? "every promise held" : violations.size() + " promises broke");
        return violations.isEmpty() ? 0 : 1;
    }
}
