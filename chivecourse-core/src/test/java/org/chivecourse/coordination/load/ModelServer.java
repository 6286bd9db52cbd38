package org.chivecourse.coordination.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.state.server.LoadReport;

/** A backend server whose machine changes its speed now and then, and that slows down when it is nearly full. */
final class ModelServer {

    private static final double NOISE_SHARE = 0.25;

    private static final double NOISE_FACTOR = 4;

    private static final long NOISE_MILLISECONDS = 300;

    private static final double KNEE_SHARE = 0.8;

    private static final double KNEE_FACTOR = 1.7;

    private static final int LARGEST_QUEUE = 8;

    private final int slots;

    private final SplittableRandom random;

    private final List<Run> running = new ArrayList<>();

    private final Deque<Run> waiting = new ArrayDeque<>();

    private double noise = 1;

    private long drawnAt = Long.MIN_VALUE / 2;

    ModelServer(int slots, long seed) {
        this.slots = slots;
        random = new SplittableRandom(seed);
    }

    /** Takes a request, or refuses it because its queue is full. */
    boolean take(LoadModel.Attempt attempt, double workMilliseconds) {
        if (running.size() < slots) {
            running.add(new Run(attempt, workMilliseconds));
            return true;
        }
        if (waiting.size() >= LARGEST_QUEUE) {
            return false;
        }
        waiting.add(new Run(attempt, workMilliseconds));
        return true;
    }

    void drop(LoadModel.Attempt attempt) {
        running.removeIf(run -> run.attempt.equals(attempt));
        waiting.removeIf(run -> run.attempt.equals(attempt));
    }

    /** Works for a time and returns the attempts that ended. */
    List<LoadModel.Attempt> work(long now, long milliseconds) {
        if (now - drawnAt >= NOISE_MILLISECONDS) {
            drawnAt = now - random.nextLong(drawnAt < 0 ? NOISE_MILLISECONDS : 1);
            noise = random.nextDouble() < NOISE_SHARE ? NOISE_FACTOR : 1;
        }
        double factor = noise * (running.size() > KNEE_SHARE * slots ? KNEE_FACTOR : 1);
        List<LoadModel.Attempt> ended = new ArrayList<>();
        Iterator<Run> iterator = running.iterator();
        while (iterator.hasNext()) {
            Run run = iterator.next();
            run.left -= milliseconds / factor;
            if (run.left <= 0) {
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

    /** Returns the load that an answer states, which counts the answered request. */
    LoadReport reportOnAnswer() {
        return new LoadReport(running.size() + waiting.size() + 1, slots, (int) (100 * noise));
    }

    private static final class Run {

        private final LoadModel.Attempt attempt;

        private double left;

        private Run(LoadModel.Attempt attempt, double left) {
            this.attempt = attempt;
            this.left = left;
        }
    }
}
