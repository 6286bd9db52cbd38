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
    private static final int LARGEST_QUEUE = 2000;

    /** The largest number of lines in a second. */
    private static final int LARGEST_RATE = 500;

    /** The time for which lines are gathered before they are written, in milliseconds. */
    private static final long GATHER_MILLISECONDS = 100;

    /** The number of nanoseconds in a second. */
    private static final long SECOND = 1_000_000_000L;

    /** The lines that wait. */
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(LARGEST_QUEUE);

    /** The number of lines that were left out and not reported yet. */
    private final AtomicLong leftOut = new AtomicLong();

    /** The stream. */
    private final OutputStream stream;

    /** The thread that writes. */
    private final Thread writer;

    /** The start of the present second, in nanoseconds. */
    private long secondAt;

    /** The number of lines in the present second. */
    private int inSecond;

    /**
     * Creates a queue that writes nothing yet.
     *
     * @param stream the stream
     */
    public LineQueue(OutputStream stream) {
        this.stream = stream;
        writer = new Thread(this::write, "log");
        writer.setDaemon(true);
    }

    /** Starts to write. */
    public void start() {
        writer.start();
    }

    /**
     * Adds a line, or leaves it out.
     *
     * @param line the line without its end
     */
    public void add(String line) {
        if (!admitted(System.nanoTime()) || !lines.offer(line)) {
            leftOut.incrementAndGet();
        }
    }

    /**
     * Counts a line against the bound on lines in a second.
     *
     * @param now the time in nanoseconds
     * @return {@code true} if it is within the bound
     */
    private synchronized boolean admitted(long now) {
        if (now - secondAt >= SECOND) {
            secondAt = now;
            inSecond = 0;
        }
        return inSecond++ < LARGEST_RATE;
    }

    /** Writes lines as they come. */
    private void write() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(lines.take());
                TimeUnit.MILLISECONDS.sleep(GATHER_MILLISECONDS);
                write(batch);
            }
        } catch (InterruptedException exception) {
            write(batch);
        }
    }

    /**
     * Writes lines.
     *
     * @param batch the first lines, which is emptied
     */
    private void write(List<String> batch) {
        lines.drainTo(batch);
        StringBuilder text = new StringBuilder();
        for (String line : batch) {
            text.append(line).append('\n');
        }
        batch.clear();
        long missing = leftOut.getAndSet(0);
        if (missing > 0) {
            text.append("{\"event\":\"lines-left-out\",\"count\":")
                    .append(missing)
                    .append("}\n");
        }
        try {
            stream.write(text.toString().getBytes(StandardCharsets.UTF_8));
            stream.flush();
        } catch (IOException exception) {
            // Nobody reads the stream; the lines count as left out.
            leftOut.addAndGet(missing + 1);
        }
    }

    /**
     * Writes what waits and ends.
     *
     * @param milliseconds the longest time to wait for a write under way
     */
    public void stop(long milliseconds) {
        writer.interrupt();
        try {
            writer.join(milliseconds);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        if (!writer.isAlive() && !lines.isEmpty()) {
            write(new ArrayList<>());
        }
    }
}
