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
 * Writes lines to a stream on a thread of its own, so that a slow stream holds nobody up.
 *
 * <p>The number of lines in a second and of lines that wait is bounded; lines beyond that are left out, and a line says
 * how many.
 */
public final class LineQueue {

    /** The largest number of lines that wait. */
    private static final int MAXIMUM_QUEUED_LINES = 2000;

    /** The largest number of lines in a second. */
    private static final int MAXIMUM_LINES_PER_SECOND = 500;

    /** The time for which lines are gathered before they are written, in milliseconds. */
    private static final long BATCH_INTERVAL_MILLISECONDS = 100;

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The lines that wait. */
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);

    /** The number of lines that were left out and not reported yet. */
    private final AtomicLong droppedLines = new AtomicLong();

    /** The stream. */
    private final OutputStream stream;

    /** The thread that writes. */
    private final Thread writerThread;

    /** The start of the present second, in nanoseconds. */
    private long secondStartNanoseconds;

    /** The number of lines in the present second. */
    private int linesInSecond;

    /**
     * Creates a queue that writes nothing yet.
     *
     * @param stream the stream
     */
    public LineQueue(OutputStream stream) {
        this.stream = stream;
        writerThread = new Thread(this::writeUntilInterrupted, "log");
        writerThread.setDaemon(true);
    }

    /** Starts to write. */
    public void start() {
        writerThread.start();
    }

    /**
     * Adds a line, or leaves it out.
     *
     * @param line the line without its end
     */
    public void add(String line) {
        if (!admit(System.nanoTime()) || !lines.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Counts a line against the bound on lines in a second.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if it is within the bound
     */
    private synchronized boolean admit(long now) {
        if (now - secondStartNanoseconds >= NANOSECONDS_PER_SECOND) {
            secondStartNanoseconds = now;
            linesInSecond = 0;
        }
        return linesInSecond++ < MAXIMUM_LINES_PER_SECOND;
    }

    /** Writes lines as they come. */
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
     * Writes lines.
     *
     * @param batch the first lines, which is emptied
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
            // Nobody reads the stream; the lines count as left out.
            droppedLines.addAndGet(dropped + 1);
        }
    }

    /**
     * Writes what waits and ends.
     *
     * @param timeoutMilliseconds the longest time to wait for a write under way
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
