package org.chivecourse.gateway.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;

/** The metrics of the memory that the process uses: the virtual machine's heap, and buffers outside of it. */
public final class MemoryMetrics {

    /** Prevents instantiation. */
    private MemoryMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param metrics the metrics of the gateway
     */
    public static void register(MetricRegistry metrics) {
        metrics.register("memory.heap-bytes", (Gauge<Long>) MemoryMetrics::heapBytes);
        if (ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider provider) {
            metrics.register("memory.direct-bytes", (Gauge<Long>) provider.metric()::usedDirectMemory);
        }
    }

    /** Returns the size of the objects on the heap, those that are no longer reachable included. */
    private static long heapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
