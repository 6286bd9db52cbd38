package org.chivecourse.command.bench;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the cost of the control plane for one host at several sizes of the fleet. */
@Command(
        name = "bench-fleet",
        description = "Measures the cost of the control plane for one host, with all decision cores in this process.",
        mixinStandardHelpOptions = true)
public final class FleetCommand implements Callable<Integer> {

    /** The numbers of hosts to measure. */
    @Option(names = "--hosts", split = ",", defaultValue = "16,64,256", description = "The numbers of hosts.")
    private List<Integer> hosts;

    /** The numbers of backend servers to measure, each with each number of hosts. */
    @Option(
            names = "--servers",
            split = ",",
            defaultValue = "51,195,780",
            description = "The numbers of backend servers.")
    private List<Integer> servers;

    /** Creates the command. */
    public FleetCommand() {}

    @Override
    public Integer call() {
        new FleetBench(hosts.get(0), servers.get(0)).run();
        System.out.printf(
                "%6s %8s %14s %10s %10s %14s %14s %14s%n",
                "hosts",
                "servers",
                "% of a core",
                "bytes/s",
                "heap MiB",
                "alloc KiB/s",
                "converged ms",
                "body/deflated");
        for (int hostCount : hosts) {
            for (int serverCount : servers) {
                FleetBenchResult result = new FleetBench(hostCount, serverCount).run();
                System.out.printf(
                        Locale.ROOT,
                        "%6d %8d %14.3f %10.0f %10.3f %14.1f %14d %14s%n",
                        hostCount,
                        serverCount,
                        result.cpuPercent(),
                        result.bytesPerSecond(),
                        result.heapMebibytes(),
                        result.allocatedKibibytesPerSecond(),
                        result.convergenceMilliseconds(),
                        result.configurationBytes() + "/" + result.deflatedBytes());
            }
        }
        return 0;
    }
}
