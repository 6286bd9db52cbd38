package org.chivecourse.standin.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** The slots of a backend server and the requests that wait for one, first come first served. */
final class SlotQueue {

    /** The number of slots. */
    private final int slots;

    /** The number of requests that may wait. */
    private final int queueLimit;

    /** The requests that wait. */
    private final Deque<MonoSink<Boolean>> waiting = new ArrayDeque<>();

    /** The number of requests that run. */
    private int running;

    /**
     * Creates an empty queue.
     *
     * @param slots the number of slots
     * @param queueLimit the number of requests that may wait
     */
    SlotQueue(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /**
     * Waits for a slot.
     *
     * @return emits {@code true} with the slot, or {@code false} if too many requests wait
     */
    Mono<Boolean> acquire() {
        return Mono.create(this::admit);
    }

    /**
     * Gives a slot, or a place to wait, or neither.
     *
     * @param request the request
     */
    private void admit(MonoSink<Boolean> request) {
        boolean admitted;
        synchronized (this) {
            admitted = running < slots;
            if (admitted) {
                running++;
            } else if (waiting.size() < queueLimit) {
                waiting.add(request);
                request.onCancel(() -> removeWaiting(request));
                return;
            }
        }
        request.success(admitted);
    }

    /**
     * Removes a request that waits no longer.
     *
     * @param request the request
     */
    private synchronized void removeWaiting(MonoSink<Boolean> request) {
        waiting.remove(request);
    }

    /**
     * Frees a slot and gives it to the first request that waits.
     */
    void release() {
        MonoSink<Boolean> first;
        synchronized (this) {
            first = waiting.poll();
            if (first == null) {
                running--;
                return;
            }
        }
        first.success(true);
    }

    /**
     * Returns the number of requests that run or wait.
     *
     * @return the number of requests
     */
    synchronized int inFlight() {
        return running + waiting.size();
    }
}
