package org.chivecourse.command.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.AbstractHistogram;
import org.chivecourse.command.fleet.LocalFleet;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.model.MeasuringBudget;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.gateway.daemon.Gateway;
import org.chivecourse.gateway.daemon.GatewayException;
import org.chivecourse.standin.backend.BackendProfile;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.standin.load.LoadGenerator;
import org.chivecourse.standin.load.LoadPlan;
import org.chivecourse.standin.load.LoadTestReport;

/** Measures variants alternately, round by round, so that a drift of the machine affects all variants alike. */
public final class BenchRunner {

    /** The time between two changes of the faults of backend servers. */
    private static final long FAULT_INTERVAL_MILLISECONDS = 1000;

    /** The share of slot time that lets probes be bounded by their rate alone. */
    private static final int FULL_SLOT_SHARE_PERMILLE = 1000;

    /** The number of microseconds in a millisecond. */
    private static final double MICROSECONDS_PER_MILLISECOND = 1000.0;

    /** The variants to measure and the conditions. */
    private final BenchPlan plan;

    /** The fleets by variant; all of them run during the whole benchmark. */
    private final Map<Variant, LocalFleet> fleets = new EnumMap<>(Variant.class);

    /**
     * Creates a benchmark.
     *
     * @param plan the variants to measure and the conditions
     */
    public BenchRunner(BenchPlan plan) {
        this.plan = plan;
    }

    /**
     * Measures all variants. The first round warms up and is not part of the results.
     *
     * @param progress receives each result when its measurement has ended
     * @return the results in the order of their measurement
     * @throws ConfigurationException if the configuration is invalid
     * @throws DocumentException if the settings are invalid
     * @throws GatewayException if a gateway cannot start
     * @throws InterruptedException if the thread is interrupted
     */
    public List<SliceResult> run(Consumer<SliceResult> progress)
            throws ConfigurationException, DocumentException, GatewayException, InterruptedException {
        List<SliceResult> results = new ArrayList<>();
        try {
            for (Variant variant : plan.variants()) {
                fleets.put(variant, startFleet(variant));
            }
            for (int round = 0; round <= plan.rounds(); round++) {
                for (Variant variant : plan.variants()) {
                    SliceResult result = measure(variant, round);
                    if (round > 0) {
                        results.add(result);
                        progress.accept(result);
                    }
                }
            }
        } finally {
            for (LocalFleet fleet : fleets.values()) {
                fleet.close();
            }
        }
        return results;
    }

    /**
     * Starts the fleet of a variant.
     *
     * @param variant the variant
     * @return the fleet
     * @throws ConfigurationException if the configuration is invalid
     * @throws DocumentException if the settings are invalid
     * @throws GatewayException if a gateway cannot start
     * @throws InterruptedException if the thread is interrupted
     */
    private LocalFleet startFleet(Variant variant)
            throws ConfigurationException, DocumentException, GatewayException, InterruptedException {
        LocalFleet fleet = new LocalFleet(
                List.of(plan.shape()),
                this::adaptProfile,
                service -> withMeasuringBudget(variant.serviceCustomizer().apply(service)),
                plan.seed());
        for (int index = 0; index < plan.gateways(); index++) {
            fleet.startGateway("si-" + (char) ('a' + index % 3), plan.gateways(), variant.choicePolicy());
        }
        return fleet;
    }

    /**
     * Replaces the measuring budget of a service with the plan's, unless the service is not probed or the plan keeps
     * its budget.
     *
     * @param service the service
     * @return the service with the budget that applies
     */
    private Service withMeasuringBudget(Service service) {
        boolean probed = service.measuring().probesPerSecond() > 0 && plan.probesPerSecond() >= 0;
        return probed
                ? service.measuring(new MeasuringBudget(plan.probesPerSecond(), FULL_SLOT_SHARE_PERMILLE))
                : service;
    }

    /**
     * Returns the profile of backend servers for this benchmark. Without service time, the number of slots is raised to
     * 1000.
     *
     * @param deploymentProfile the profile of the service's deployment
     * @return the profile
     */
    private BackendProfile adaptProfile(BackendProfile deploymentProfile) {
        return plan.zeroServiceTime()
                ? new BackendProfile(
                        1000, deploymentProfile.queueLimit(), Duration.ZERO, 0, deploymentProfile.slowdownFactor())
                : deploymentProfile;
    }

    /**
     * Measures a variant once while the scenario changes faults.
     *
     * @param variant the variant
     * @param round the number of the round, zero for the warm-up
     * @return the result
     */
    private SliceResult measure(Variant variant, int round) {
        LocalFleet fleet = fleets.get(variant);
        List<BackendServerStandIn> servers = fleet.servers(plan.shape());
        SplittableRandom random = new SplittableRandom(plan.seed() + round);
        ScheduledExecutorService faultScheduler = Executors.newSingleThreadScheduledExecutor();
        faultScheduler.scheduleAtFixedRate(
                () -> plan.scenario().applyFaults(servers, random),
                0,
                FAULT_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
        LoadPlan load = new LoadPlan(
                targets(variant, fleet),
                List.of(),
                List.of("/" + plan.shape().serviceName()),
                plan.requestsPerSecond(),
                plan.sliceDuration(),
                Duration.ZERO,
                0,
                Duration.ofSeconds(30),
                plan.seed() * 31 + round,
                variant + "-" + round);
        LoadTestReport report = new LoadGenerator(load).run();
        faultScheduler.shutdownNow();
        AbstractHistogram latencies = report.latencies();
        return new SliceResult(
                variant,
                round,
                latencies.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
                latencies.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
                latencies.getValueAtPercentile(99.9) / MICROSECONDS_PER_MILLISECOND,
                report.resultCounts(),
                report.violations(fleet.runCounts()::runCount).size(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    /**
     * Returns the addresses that load is sent to: backend servers for direct connections, otherwise gateways.
     *
     * @param variant the variant
     * @param fleet the fleet of the variant
     */
    private List<String> targets(Variant variant, LocalFleet fleet) {
        if (variant == Variant.DIRECT) {
            return fleet.servers(plan.shape()).stream()
                    .map(BackendServerStandIn::address)
                    .toList();
        }
        List<Gateway> gateways = fleet.gateways();
        return LocalFleet.callerAddresses(gateways);
    }
}
