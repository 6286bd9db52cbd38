package org.chivecourse.command.bench;

/**
 * Records the cost of the control plane for one host of a fleet.
 *
 * @param hostCount the number of hosts
 * @param serverCount the number of backend servers over all services
 * @param cpuPercent the CPU time of the host, in percent of one core
 * @param bytesPerSecond the bytes of datagrams that the host sends in a second
 * @param heapMebibytes the heap that the host's decision core uses, in MiB
 * @param allocatedKibibytesPerSecond the memory allocated in a second, in KiB
 * @param convergenceMilliseconds the time until a configuration that one host has read is in force on all hosts
 * @param configurationBytes the size of the printed configuration
 * @param deflatedBytes the size of the compressed configuration
 */
record FleetBenchResult(
        int hostCount,
        int serverCount,
        double cpuPercent,
        double bytesPerSecond,
        double heapMebibytes,
        double allocatedKibibytesPerSecond,
        long convergenceMilliseconds,
        int configurationBytes,
        int deflatedBytes) {}
