package org.chivecourse.coordination.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.state.server.LoadReport;

/**
 * A simulated backend server. Its machine is slow in a quarter of the noise intervals, and it slows down near
 * saturation.
 */
final class SimulatedServer {

    private static final double NOISE_SHARE = 0.25;

    private static final double NOISE_FACTOR = 4;

    private static final long NOISE_MILLISECONDS = 300;

    private static final double SATURATION_SHARE = 0.8;

    private static final double SATURATION_FACTOR = 1.7;

    private final int slots;

    private final int queueLength;

    private final SplittableRandom random;

    private final List<Run> running = new ArrayList<>();

    private final Deque<Run> waiting = new ArrayDeque<>();

    private double noise = 1;

    private long noiseDrawnAt = Long.MIN_VALUE / 2;

    SimulatedServer(int slots, int queueLength, long seed) {
        this.slots = slots;
        this.queueLength = queueLength;
        random = new SplittableRandom(seed);
    }

    /** Runs or queues a request, or refuses it and returns {@code false} if the queue is full. */
    boolean accept(LoadSimulation.Attempt attempt, double workMilliseconds) {
        if (running.size() < slots) {
            running.add(new Run(attempt, workMilliseconds));
            return true;
        }
        if (waiting.size() >= queueLength) {
            return false;
        }
        waiting.add(new Run(attempt, workMilliseconds));
        return true;
    }

    void cancel(LoadSimulation.Attempt attempt) {
        running.removeIf(run -> run.attempt.equals(attempt));
        waiting.removeIf(run -> run.attempt.equals(attempt));
    }

    /** Simulates a period of work and returns the attempts that ended in it. */
    List<LoadSimulation.Attempt> advance(long now, long milliseconds) {
        if (now - noiseDrawnAt >= NOISE_MILLISECONDS) {
            noiseDrawnAt = now - random.nextLong(noiseDrawnAt < 0 ? NOISE_MILLISECONDS : 1);
            noise = random.nextDouble() < NOISE_SHARE ? NOISE_FACTOR : 1;
        }
        double factor = noise * (running.size() > SATURATION_SHARE * slots ? SATURATION_FACTOR : 1);
        List<LoadSimulation.Attempt> ended = new ArrayList<>();
        Iterator<Run> iterator = running.iterator();
        while (iterator.hasNext()) {
            Run run = iterator.next();
            run.remainingMilliseconds -= milliseconds / factor;
            if (run.remainingMilliseconds <= 0) {
                ended.add(run.attempt);
                iterator.remove();
            }
        }
        while (running.size() < slots && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
        return ended;
    }

    LoadReport report() {
        return new LoadReport(running.size() + waiting.size(), slots, (int) (100 * noise));
    }

    /** Returns the load report of an answer, which still counts the answered request. */
    LoadReport reportOnAnswer() {
        return new LoadReport(running.size() + waiting.size() + 1, slots, (int) (100 * noise));
    }

    private static final class Run {

        private final LoadSimulation.Attempt attempt;

        private double remainingMilliseconds;

        private Run(LoadSimulation.Attempt attempt, double remainingMilliseconds) {
            this.attempt = attempt;
            this.remainingMilliseconds = remainingMilliseconds;
        }
    }
}
