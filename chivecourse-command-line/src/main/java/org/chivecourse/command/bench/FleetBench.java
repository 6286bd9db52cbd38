package org.chivecourse.command.bench;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
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
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.protocol.peer.Deflation;
import org.chivecourse.protocol.peer.MessageAuthenticator;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.state.peer.ListedHost;

/**
 * Measures the cost of the control plane for one host. The decision cores of all hosts run in one thread on
 * virtual time, with their datagrams encoded and decoded, and without any call.
 */
final class FleetBench {

    /** The number of services. */
    private static final int SERVICE_COUNT = 39;

    /** The duration of the measurement in virtual time. */
    private static final int MEASUREMENT_SECONDS = 10;

    /** The virtual time between two ticks. */
    private static final long TICK_NANOSECONDS = HostCore.MAXIMUM_TICK_INTERVAL_NANOSECONDS;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The maximum virtual time to wait for convergence. */
    private static final int MAXIMUM_CONVERGENCE_SECONDS = 60;

    /** The number of hosts. */
    private final int hostCount;

    /** The number of backend servers over all services. */
    private final int serverCount;

    /** The decision cores by host name. */
    private final Map<String, HostCore> cores = new LinkedHashMap<>();

    /** The datagrams that were sent but not yet received. */
    private final Deque<Datagram> datagrams = new ArrayDeque<>();

    /** Encodes and decodes datagrams. */
    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    /** The virtual time in nanoseconds. */
    private long now = NANOSECONDS_PER_SECOND;

    /** The number of bytes of all datagrams sent since the start of the measurement. */
    private long datagramBytes;

    /**
     * Creates a measurement.
     *
     * @param hostCount the number of hosts
     * @param serverCount the number of backend servers over all services
     */
    FleetBench(int hostCount, int serverCount) {
        this.hostCount = hostCount;
        this.serverCount = serverCount;
    }

    /**
     * Runs the measurement, once for each instance.
     *
     * @return the result
     */
    FleetBenchResult run() {
        long heapBefore = usedHeap();
        startFleet();
        PrintedConfiguration firstConfiguration = createConfiguration(1);
        cores.values().forEach(core -> applyConfiguration(core, firstConfiguration));
        advance(5);
        long heap = usedHeap() - heapBefore;
        datagramBytes = 0;
        long cpuNanoseconds = threadCpuNanoseconds();
        long allocatedBytes = allocatedBytes();
        advance(MEASUREMENT_SECONDS);
        cpuNanoseconds = threadCpuNanoseconds() - cpuNanoseconds;
        allocatedBytes = allocatedBytes() - allocatedBytes;
        double hostSeconds = (double) hostCount * MEASUREMENT_SECONDS;
        double bytesPerSecond = datagramBytes / hostSeconds;
        PrintedConfiguration secondConfiguration = createConfiguration(2);
        applyConfiguration(cores.get("host-0"), secondConfiguration);
        return new FleetBenchResult(
                hostCount,
                serverCount,
                cpuNanoseconds / hostSeconds / NANOSECONDS_PER_SECOND * 100,
                bytesPerSecond,
                heap / 1024.0 / 1024.0 / hostCount,
                allocatedBytes / hostSeconds / 1024,
                measureConvergence(),
                secondConfiguration.text().length(),
                Deflation.deflate(secondConfiguration.text()).length);
    }

    /** Creates the decision cores and passes them the host list. */
    private void startFleet() {
        SplittableRandom random = new SplittableRandom(1);
        List<ListedHost> list = new ArrayList<>();
        for (int index = 0; index < hostCount; index++) {
            String name = "host-" + index;
            list.add(new ListedHost(name, name, "dc-" + index % 6, false));
        }
        for (ListedHost host : list) {
            HostSettings settings = new HostSettings(
                    host.name(),
                    host.dataCentre(),
                    hostCount,
                    true,
                    1,
                    HostSettings.KeyLimits.DEFAULT,
                    ChoicePolicy.LEAST_ESTIMATE,
                    10_000);
            HostCore core = new HostCore(settings, random.split());
            cores.put(host.name(), core);
            core.handle(new Event.HostsRead(list), now, decision -> {});
        }
    }

    /**
     * Creates a configuration of the size that is measured.
     *
     * @param revision the revision
     */
    private PrintedConfiguration createConfiguration(long revision) {
        Configuration configuration = Configuration.revision(revision);
        for (int index = 0; index < SERVICE_COUNT; index++) {
            Service service = Service.named("service-" + index);
            service = service.route(Route.of(service.pathPrefix() + "/lookups", Method.GET)
                            .attempts(3)
                            .hedging())
                    .route(Route.of(service.pathPrefix() + "/orders", Method.POST));
            for (int server = index; server < serverCount; server += SERVICE_COUNT) {
                service = service.backendServer(BackendServer.at("10.0." + server / 250 + "." + server % 250 + ":80")
                        .in("dc-" + server % 6));
            }
            configuration = configuration.service(service);
        }
        return new PrintedConfiguration(configuration, new ConfigurationWriter().printUnchecked(configuration));
    }

    /**
     * Passes a configuration to a core.
     *
     * @param core the core
     * @param configuration the configuration
     */
    private void applyConfiguration(HostCore core, PrintedConfiguration configuration) {
        Event event = new Event.ConfigurationRead(new LoadedConfiguration(configuration, List.of()), "bench");
        core.handle(event, now, decision -> perform(core, decision));
    }

    /**
     * Advances the virtual time tick by tick.
     *
     * @param seconds the time in virtual seconds
     */
    private void advance(int seconds) {
        long end = now + seconds * NANOSECONDS_PER_SECOND;
        while (now < end) {
            tick();
        }
    }

    /** Advances the virtual time by one tick and delivers all datagrams, including those sent in response. */
    private void tick() {
        now += TICK_NANOSECONDS;
        for (HostCore core : cores.values()) {
            core.handle(new Event.TimePassed(), now, decision -> perform(core, decision));
        }
        while (!datagrams.isEmpty()) {
            Datagram datagram = datagrams.poll();
            HostCore core = cores.get(datagram.to());
            core.handle(decode(datagram), now, decision -> perform(core, decision));
        }
    }

    /**
     * Decodes a datagram.
     *
     * @param datagram the datagram
     * @return the event that it stands for
     */
    private Event decode(Datagram datagram) {
        try {
            return codec.decode(datagram.bytes(), "", 0);
        } catch (PeerMessageException exception) {
            throw new IllegalStateException("datagram cannot be decoded after it was encoded", exception);
        }
    }

    /**
     * Carries out a decision if it concerns digests, configurations or health checks, and ignores others.
     *
     * @param core the core that decided
     * @param decision the decision
     */
    private void perform(HostCore core, Decision decision) {
        if (decision instanceof Decision.SendDigest send) {
            byte[] encoded = codec.encode(send.digest());
            datagramBytes += encoded.length;
            datagrams.add(new Datagram(send.address(), encoded));
        } else if (decision instanceof Decision.PullConfiguration pull) {
            LoadedConfiguration current =
                    cores.get(pull.name()).configurations().current().orElseThrow();
            core.handle(new Event.ConfigurationRead(current, pull.name()), now, next -> perform(core, next));
        } else if (decision instanceof Decision.CheckHealth check) {
            core.handle(
                    new Event.HealthChecked(check.address(), HealthCheckResult.SERVING),
                    now,
                    next -> perform(core, next));
        }
    }

    /**
     * Advances the virtual time until the second configuration is in force on all hosts.
     *
     * @return the time in virtual milliseconds, the maximum if the hosts did not converge
     */
    private long measureConvergence() {
        long start = now;
        while (now - start < MAXIMUM_CONVERGENCE_SECONDS * NANOSECONDS_PER_SECOND) {
            tick();
            boolean converged = cores.values().stream()
                    .allMatch(core -> core.configurations().revision() == 2);
            if (converged) {
                return (now - start) / (NANOSECONDS_PER_SECOND / 1000);
            }
        }
        return MAXIMUM_CONVERGENCE_SECONDS * 1000L;
    }

    /** Returns the CPU time of this thread in nanoseconds. */
    private static long threadCpuNanoseconds() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Returns the number of bytes that this thread has allocated. */
    private static long allocatedBytes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** Returns the heap in use after a garbage collection, in bytes. */
    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * Represents a datagram that was sent but not yet received.
     *
     * @param to the name of the receiving host
     * @param bytes the encoded message
     */
    private record Datagram(String to, byte[] bytes) {}
}
