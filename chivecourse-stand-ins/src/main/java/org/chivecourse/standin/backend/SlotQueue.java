package org.chivecourse.standin.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Assigns the slots of a backend server to requests in the order of their arrival and bounds the requests that wait.
 */
final class SlotQueue {

    /** The number of requests that may run concurrently. */
    private final int slots;

    /** The number of requests that may wait for a slot. */
    private final int queueLimit;

    /** The requests that wait for a slot, in the order of their arrival; guarded by this object's monitor. */
    private final Deque<MonoSink<Boolean>> waiting = new ArrayDeque<>();

    /** The number of requests that hold a slot; guarded by this object's monitor. */
    private int running;

    /**
     * Creates an empty queue.
     *
     * @param slots the number of requests that may run concurrently
     * @param queueLimit the number of requests that may wait for a slot
     */
    SlotQueue(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /**
     * Requests a slot.
     *
     * @return emits {@code true} once a slot is assigned, or {@code false} at once if the queue is full
     */
    Mono<Boolean> acquire() {
        return Mono.create(this::admit);
    }

    /**
     * Assigns a free slot to a request, enqueues the request, or rejects it if the queue is full.
     *
     * @param request the sink that receives the result
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
     * Removes a request that was cancelled while it waited.
     *
     * @param request the sink of the cancelled request
     */
    private synchronized void removeWaiting(MonoSink<Boolean> request) {
        waiting.remove(request);
    }

    /** Releases a slot and assigns it to the request that has waited longest, if there is one. */
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

    /** Returns the number of requests that run or wait. */
    synchronized int inFlight() {
        return running + waiting.size();
    }
}
