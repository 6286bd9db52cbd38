package org.chivecourse.transport.http;

import java.io.IOException;
import org.chivecourse.transport.memory.OldestFirst;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The transfers that wait until the other side reads. Each holds a bounded number of bytes; if there are so many that
 * they would hold too much together, those that have waited longest are ended.
 */
public final class StalledTransfers {

    /** The largest number of bytes that a stalled transfer holds: unwritten ones, and those of two turns of reading. */
    private static final int BYTES_PER_TRANSFER =
            ConnectionOptions.HIGH_WATERMARK_BYTES + 2 * ConnectionOptions.BYTES_PER_TURN;

    /** The largest number of transfers that may be stalled. */
    private final int maximumTransfers;

    /** Records transfers that were ended. */
    private final ExchangeMetrics metrics;

    /** The stalled transfers, the one that has waited longest first. */
    private final OldestFirst<Sinks.Empty<Void>> stalled = new OldestFirst<>();

    /**
     * Creates an instance without transfers.
     *
     * @param maximumBytes the largest number of bytes that stalled transfers may hold together
     * @param metrics records transfers that were ended
     */
    StalledTransfers(long maximumBytes, ExchangeMetrics metrics) {
        maximumTransfers = (int) Math.max(1, Math.min(Integer.MAX_VALUE, maximumBytes / BYTES_PER_TRANSFER));
        this.metrics = metrics;
    }

    /**
     * Counts a wait among the stalled transfers while it lasts.
     *
     * @param wait completes when the transfer can go on
     * @return completes with the wait, or fails if the transfer has to end because too much memory is held
     */
    Mono<Void> count(Mono<Void> wait) {
        return Mono.defer(() -> {
            Sinks.Empty<Void> transfer = Sinks.empty();
            add(transfer);
            return Mono.firstWithSignal(wait, transfer.asMono()).doFinally(signal -> stalled.remove(transfer));
        });
    }

    /** Adds a transfer, and ends the one that has waited longest if there are too many. */
    private void add(Sinks.Empty<Void> transfer) {
        stalled.add(transfer);
        if (stalled.size() > maximumTransfers) {
            stalled.takeOldest().ifPresent(this::end);
        }
    }

    /** Ends a transfer. */
    private void end(Sinks.Empty<Void> transfer) {
        metrics.recordEndedTransfer();
        transfer.tryEmitError(
                new IOException("the other side does not read, and " + maximumTransfers + " others neither"));
    }

    /** Returns the largest number of bytes that the transfers which are stalled now may hold. */
    long heldBytes() {
        return (long) stalled.size() * BYTES_PER_TRANSFER;
    }
}
