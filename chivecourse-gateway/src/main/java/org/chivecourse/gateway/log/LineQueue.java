package org.chivecourse.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream on a thread of its own, so that a slow stream does not block callers of {@link #add}.
 *
 * <p>The number of queued lines and of lines per second is bounded. Lines beyond these bounds are dropped, and a later
 * line reports how many.
 */
public final class LineQueue {

    /** The maximum number of queued lines. */
    private static final int MAXIMUM_QUEUED_LINES = 2000;

    /** The maximum number of lines accepted per second. */
    private static final int MAXIMUM_LINES_PER_SECOND = 500;

    /** The time for which lines are collected before they are written as a batch, in milliseconds. */
    private static final long BATCH_INTERVAL_MILLISECONDS = 100;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The queued lines. */
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);

    /** The number of dropped lines that have not been reported yet. */
    private final AtomicLong droppedLines = new AtomicLong();

    /** The stream that lines are written to. */
    private final OutputStream stream;

    /** The thread that writes lines. */
    private final Thread writerThread;

    /** The start of the current one-second window, on the scale of {@link System#nanoTime()}. */
    private long secondStartNanoseconds;

    /** The number of lines offered in the current window, including those over the bound. */
    private int linesInSecond;

    /**
     * Creates a queue whose writer thread is not started.
     *
     * @param stream the stream that lines are written to
     */
    public LineQueue(OutputStream stream) {
        this.stream = stream;
        writerThread = new Thread(this::writeUntilInterrupted, "log");
        writerThread.setDaemon(true);
    }

    /** Starts the writer thread. */
    public void start() {
        writerThread.start();
    }

    /**
     * Queues a line, or drops it if a bound is reached. Never blocks on the stream.
     *
     * @param line the line without a line terminator
     */
    public void add(String line) {
        if (!admit(System.nanoTime()) || !lines.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Counts a line in the current window.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if the line is within the bound on lines per second
     */
    private synchronized boolean admit(long now) {
        if (now - secondStartNanoseconds >= NANOSECONDS_PER_SECOND) {
            secondStartNanoseconds = now;
            linesInSecond = 0;
        }
        return linesInSecond++ < MAXIMUM_LINES_PER_SECOND;
    }

    /** Writes batches of lines until the thread is interrupted, and then the lines that are still queued. */
    private void writeUntilInterrupted() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(lines.take());
                TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MILLISECONDS);
                writeBatch(batch);
            }
        } catch (InterruptedException exception) {
            writeBatch(batch);
        }
    }

    /**
     * Writes a batch together with all queued lines.
     *
     * @param batch the first lines of the batch, emptied by this method
     */
    private void writeBatch(List<String> batch) {
        lines.drainTo(batch);
        StringBuilder text = new StringBuilder();
        for (String line : batch) {
            text.append(line).append('\n');
        }
        batch.clear();
        long dropped = droppedLines.getAndSet(0);
        if (dropped > 0) {
            text.append("{\"event\":\"lines-left-out\",\"count\":")
                    .append(dropped)
                    .append("}\n");
        }
        try {
            stream.write(text.toString().getBytes(StandardCharsets.UTF_8));
            stream.flush();
        } catch (IOException exception) {
            // The report of dropped lines was not written either, so their number is restored. The failed batch counts
            // as one more line, whatever its size.
            droppedLines.addAndGet(dropped + 1);
        }
    }

    /**
     * Stops the writer thread after it has written the queued lines.
     *
     * @param timeoutMilliseconds the maximum time to wait for the writer thread, in milliseconds
     */
    public void stop(long timeoutMilliseconds) {
        writerThread.interrupt();
        try {
            writerThread.join(timeoutMilliseconds);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        if (!writerThread.isAlive() && !lines.isEmpty()) {
            writeBatch(new ArrayList<>());
        }
    }
}
