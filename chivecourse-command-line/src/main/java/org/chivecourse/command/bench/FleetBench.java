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
 * Measures what control costs one host: the decision cores of a fleet run in one thread on virtual time, with their
 * datagrams printed and read, and without any call.
 */
final class FleetBench {

    /** The number of services. */
    private static final int SERVICE_COUNT = 39;

    /** The time of a measurement in virtual seconds. */
    private static final int MEASUREMENT_SECONDS = 10;

    /** The time between two ticks in nanoseconds. */
    private static final long TICK_NANOSECONDS = HostCore.MAXIMUM_TICK_INTERVAL_NANOSECONDS;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The longest time that convergence is waited for, in virtual seconds. */
    private static final int MAXIMUM_CONVERGENCE_SECONDS = 60;

    /** The number of hosts. */
    private final int hostCount;

    /** The number of backend servers. */
    private final int serverCount;

    /** The cores by the name of their host. */
    private final Map<String, HostCore> cores = new LinkedHashMap<>();

    /** The datagrams under way. */
    private final Deque<Datagram> datagrams = new ArrayDeque<>();

    /** Prints and reads datagrams. */
    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    /** The virtual time in nanoseconds. */
    private long now = NANOSECONDS_PER_SECOND;

    /** The bytes of all datagrams. */
    private long datagramBytes;

    /**
     * Creates a measurement.
     *
     * @param hostCount the number of hosts
     * @param serverCount the number of backend servers
     */
    FleetBench(int hostCount, int serverCount) {
        this.hostCount = hostCount;
        this.serverCount = serverCount;
    }

    /**
     * Measures.
     *
     * @return the result
     */
    FleetBenchResult run() {
        long heapBefore = usedHeap();
        startFleet();
        PrintedConfiguration first = createConfiguration(1);
        cores.values().forEach(core -> applyConfiguration(core, first));
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
        PrintedConfiguration second = createConfiguration(2);
        applyConfiguration(cores.get("host-0"), second);
        return new FleetBenchResult(
                hostCount,
                serverCount,
                cpuNanoseconds / hostSeconds / NANOSECONDS_PER_SECOND * 100,
                bytesPerSecond,
                heap / 1024.0 / 1024.0 / hostCount,
                allocatedBytes / hostSeconds / 1024,
                measureConvergence(),
                second.text().length(),
                Deflation.deflate(second.text()).length);
    }

    /**
     * Starts the cores and tells them the host list.
     */
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
     * Returns a configuration of the size that is measured.
     *
     * @param revision the revision
     * @return the configuration
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
     * Tells a core a configuration.
     *
     * @param core the core
     * @param configuration the configuration
     */
    private void applyConfiguration(HostCore core, PrintedConfiguration configuration) {
        Event event = new Event.ConfigurationRead(new LoadedConfiguration(configuration, List.of()), "bench");
        core.handle(event, now, decision -> perform(core, decision));
    }

    /**
     * Lets virtual time pass.
     *
     * @param seconds the time
     */
    private void advance(int seconds) {
        long end = now + seconds * NANOSECONDS_PER_SECOND;
        while (now < end) {
            tick();
        }
    }

    /**
     * Lets one tick pass.
     */
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
     * Reads a datagram.
     *
     * @param datagram the datagram
     * @return what it tells the core
     */
    private Event decode(Datagram datagram) {
        try {
            return codec.decode(datagram.bytes(), "", 0);
        } catch (PeerMessageException exception) {
            throw new IllegalStateException("a datagram that was just printed cannot be read", exception);
        }
    }

    /**
     * Carries out the decisions that concern control.
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
     * Waits until the second configuration is in force everywhere.
     *
     * @return the time in virtual milliseconds
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

    /**
     * Returns the processor time of this thread.
     *
     * @return the time in nanoseconds
     */
    private static long threadCpuNanoseconds() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /**
     * Returns what this thread has allocated.
     *
     * @return the number of bytes
     */
    private static long allocatedBytes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /**
     * Returns the heap in use after a collection.
     *
     * @return the number of bytes
     */
    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * A datagram under way.
     *
     * @param to the name of the receiving host
     * @param bytes the bytes
     */
    private record Datagram(String to, byte[] bytes) {}
}
