package org.chivecourse.command.bench;

/**
 * What control costs one host of a fleet.
 *
 * @param hostCount the number of hosts
 * @param serverCount the number of backend servers
 * @param cpuPercent the share of a core, in percent
 * @param bytesPerSecond the bytes of datagrams sent in a second
 * @param heapMebibytes the heap of the decision core, in MiB
 * @param allocatedKibibytesPerSecond the memory allocated in a second, in KiB
 * @param convergenceMilliseconds the time until a configuration that one host read is in force on all
 * @param configurationBytes the size of the configuration
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
