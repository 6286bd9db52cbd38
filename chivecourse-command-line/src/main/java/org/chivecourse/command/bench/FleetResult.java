package org.chivecourse.command.bench;

/**
 * What control costs one host of a fleet.
 *
 * @param hosts the number of hosts
 * @param servers the number of backend servers
 * @param processorPercent the share of a core, in percent
 * @param bytesPerSecond the bytes of datagrams sent in a second
 * @param heapMebibytes the heap of the decision core, in MiB
 * @param allocatedKibibytesPerSecond the memory allocated in a second, in KiB
 * @param convergenceMilliseconds the time until a configuration that one host read is in force on all
 * @param configurationBytes the size of the configuration
 * @param deflatedBytes the size of the compressed configuration
 */
record FleetResult(
        int hosts,
        int servers,
        double processorPercent,
        double bytesPerSecond,
        double heapMebibytes,
        double allocatedKibibytesPerSecond,
        long convergenceMilliseconds,
        int configurationBytes,
        int deflatedBytes) {}
