package org.chivecourse.coordination.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.limit.WaitingCalls;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.call.CallTerms;
import org.chivecourse.state.reservation.SlotKey;
import org.chivecourse.state.reservation.SlotRelease;
import org.chivecourse.state.reservation.SlotReply;
import org.chivecourse.state.reservation.SlotRequest;
import org.chivecourse.state.reservation.SlotVerdict;
import org.chivecourse.state.server.ServerState;

/**
 * Grants slots of backend servers to the gateways of a data centre, this one included, and queues requests while no
 * slot is free. A grant lasts until its release, at most until the deadline of its request.
 */
public final class SlotAllocator {

    /** The maximum number of requests and grants that are held at the same time. Bounds the memory used. */
    private static final int MAXIMUM_ALLOCATIONS = 4096;

    /** The longest time for which a slot is reserved, in nanoseconds. */
    private static final long MAXIMUM_RESERVATION_NANOSECONDS = 60_000_000_000L;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Chooses the backend server of each grant. */
    private final ServerChooser chooser;

    /** Delivers the replies. */
    private final ReplySink replies;

    /** The groups of backend servers. */
    private final GroupRegistry groups;

    /** The queues, by service and group. */
    private final Map<QueueKey, WaitingCalls> queues = new HashMap<>();

    /** The requests that wait or have been granted a slot. */
    private final Map<SlotKey, Allocation> allocations = new HashMap<>();

    /** The requests that wait, by the identifiers of their calls. */
    private final Map<Long, Allocation> waiting = new HashMap<>();

    /** The requests and grants in the order of their deadlines. */
    private final TreeSet<Allocation> deadlines =
            new TreeSet<>(Comparator.comparing(Allocation::call, CallState.BY_DEADLINE));

    /** The number of requests so far, which is also the identifier of the last one's call. */
    private long requestCount;

    /** Creates an allocator without requests. */
    SlotAllocator(ServiceRegistry services, GroupRegistry groups, ServerChooser chooser, ReplySink replies) {
        this.groups = groups;
        this.services = services;
        this.chooser = chooser;
        this.replies = replies;
    }

    /**
     * Grants a slot, queues the request or refuses it. A request that was received before gets the same reply again.
     *
     * @param address the address to reply to, empty for this gateway itself
     */
    void handle(SlotRequest request, String address, long now, DecisionSink sink) {
        Allocation known = allocations.get(request.requester());
        if (known != null) {
            repeat(known, now, sink);
            return;
        }
        ServiceState service = services.service(request.service());
        boolean allocated = service != null
                && allocations.size() < MAXIMUM_ALLOCATIONS
                && request.remainingNanoseconds() > 0
                && grantable(service, QueueKey.of(request), now);
        CallState call = new CallState(++requestCount, terms(request, now));
        Allocation allocation = new Allocation(request, address, call);
        if (!allocated) {
            reply(allocation, SlotVerdict.NOT_ALLOCATED, now, sink);
            return;
        }
        admit(allocation, service, now, sink);
    }

    /** Returns whether slots of a group may be granted, if they are free. */
    private boolean grantable(ServiceState service, QueueKey key, long now) {
        return groups.grantable(service, key.dataCentre(), key.group(), now);
    }

    /** Returns the terms of a call as far as the order of waiting calls needs them. */
    private static CallTerms terms(SlotRequest request, long now) {
        return new CallTerms(
                request.service(),
                Method.GET,
                "",
                false,
                1,
                false,
                false,
                "",
                0,
                now - request.elapsedNanoseconds(),
                now + Math.min(MAXIMUM_RESERVATION_NANOSECONDS, request.remainingNanoseconds()),
                request.route(),
                request.rank(),
                request.targetLatencyNanoseconds(),
                false);
    }

    /**
     * Replies again to a request that waits or has been granted a slot. One whose group is gone meanwhile waits no
     * longer.
     */
    private void repeat(Allocation allocation, long now, DecisionSink sink) {
        SlotRequest request = allocation.request();
        ServiceState service = services.service(request.service());
        if (allocation.server() != null) {
            replyGranted(allocation, now, sink);
        } else if (!grantable(service, QueueKey.of(request), now)) {
            refuse(allocation, SlotVerdict.NOT_ALLOCATED, now, sink);
        } else {
            reply(allocation, SlotVerdict.QUEUED, now, sink);
        }
    }

    /** Grants a slot if one is free and no request goes first, and queues or refuses the request otherwise. */
    private void admit(Allocation allocation, ServiceState service, long now, DecisionSink sink) {
        WaitingCalls queue = queue(allocation.request(), service);
        CallState call = allocation.call();
        if (queue.wouldBeFirst(call) && tryGrant(allocation, service, now, sink)) {
            return;
        }
        boolean untried = allocation.request().tried().isEmpty();
        if (allocation.request().immediate() || untried && service.missesTarget(call, now)) {
            reply(allocation, SlotVerdict.NO_ROOM, now, sink);
            return;
        }
        CallState displaced = queue.full() ? queue.displaceFor(call) : null;
        if (displaced != null) {
            refuse(waiting.get(displaced.identifier()), SlotVerdict.QUEUE_FULL, now, sink);
        }
        if (!queue.offer(call)) {
            reply(allocation, SlotVerdict.QUEUE_FULL, now, sink);
            return;
        }
        waiting.put(call.identifier(), allocation);
        hold(allocation);
        reply(allocation, SlotVerdict.QUEUED, now, sink);
    }

    /** Returns the queue of a request's group. */
    private WaitingCalls queue(SlotRequest request, ServiceState service) {
        return queues.computeIfAbsent(
                QueueKey.of(request),
                key -> new WaitingCalls(service.service().limits().queueLimit()));
    }

    /** Holds a request until its release or deadline. */
    private void hold(Allocation allocation) {
        allocations.put(allocation.request().requester(), allocation);
        deadlines.add(allocation);
    }

    /** Grants a slot and returns {@code true}, or returns {@code false} if none is free. */
    private boolean tryGrant(Allocation allocation, ServiceState service, long now, DecisionSink sink) {
        SlotRequest request = allocation.request();
        List<ServerState> members = groups.members(service, request.dataCentre(), request.group());
        ServerState server = chooser.choose(service, members, allocation.call(), request.tried(), now);
        if (server == null) {
            return false;
        }
        waiting.remove(allocation.call().identifier());
        allocation.grant(server, now);
        hold(allocation);
        replyGranted(allocation, now, sink);
        return true;
    }

    /** Replies that a slot was granted. The attempt of this gateway's own call takes the place of the reservation. */
    private void replyGranted(Allocation allocation, long now, DecisionSink sink) {
        ServerState server = allocation.server();
        if (allocation.address().isEmpty()) {
            remove(allocation);
        }
        SlotReply reply = new SlotReply(
                allocation.request().requester(), SlotVerdict.GRANTED, server.identity(), server.incarnation());
        replies.reply(reply, allocation.address(), now, sink);
    }

    /** Replies without a grant. */
    private void reply(Allocation allocation, SlotVerdict verdict, long now, DecisionSink sink) {
        replies.reply(new SlotReply(allocation.request().requester(), verdict), allocation.address(), now, sink);
    }

    /** Refuses a request that waits. */
    private void refuse(Allocation allocation, SlotVerdict verdict, long now, DecisionSink sink) {
        remove(allocation);
        reply(allocation, verdict, now, sink);
    }

    /** Ends a request or grant. */
    private void remove(Allocation allocation) {
        allocation.release();
        allocations.remove(allocation.request().requester());
        deadlines.remove(allocation);
        if (waiting.remove(allocation.call().identifier()) != null) {
            WaitingCalls queue = queues.get(QueueKey.of(allocation.request()));
            queue.remove(allocation.call());
        }
    }

    /** Ends a request or grant, records what the requester learned of the backend server, and grants its slot again. */
    void release(SlotRelease release, long now, DecisionSink sink) {
        Allocation allocation = allocations.get(release.requester());
        if (allocation == null) {
            return;
        }
        remove(allocation);
        ServerState server = allocation.server();
        if (server != null) {
            recordOutcome(server, release, now);
        }
        advanceTime(now, sink);
    }

    /** Records what the requester learned of a backend server. */
    private void recordOutcome(ServerState server, SlotRelease release, long now) {
        if (services.server(server.identity()) != server) {
            return;
        }
        if (release.report() != null) {
            server.recordReport(release.report(), now);
        }
        switch (release.outcome()) {
            case FAILED -> server.condition().recordFailure(now);
            case ANSWERED, REFUSED -> {
                server.condition().recordAlive(now);
                server.condition().markReachable();
                server.contact().recordAnswerToOthers(now);
                server.warmUp().recordContact(now);
            }
            default -> {
                // Nothing is known of the backend server: one that this requester cannot reach others may reach.
            }
        }
    }

    /** Ends requests and grants whose deadline has passed, refuses late ones and grants free slots to the others. */
    void advanceTime(long now, DecisionSink sink) {
        while (!deadlines.isEmpty() && deadlines.first().call().terms().deadline() - now <= 0) {
            remove(deadlines.first());
        }
        for (Map.Entry<QueueKey, WaitingCalls> entry : List.copyOf(queues.entrySet())) {
            ServiceState service = services.service(entry.getKey().service());
            if (!grantable(service, entry.getKey(), now)) {
                refuseAll(entry.getValue(), SlotVerdict.NOT_ALLOCATED, call -> true, now, sink);
                queues.remove(entry.getKey());
            } else if (entry.getValue().size() > 0) {
                refuseLate(entry.getValue(), service, now, sink);
                grantWaiting(entry.getValue(), service, now, sink);
            }
        }
    }

    /** Refuses the requests that can no longer be answered in time. */
    private void refuseLate(WaitingCalls queue, ServiceState service, long now, DecisionSink sink) {
        queue.demote(call -> service.missesTarget(call, now));
        refuseAll(
                queue,
                SlotVerdict.NO_ROOM,
                call -> waiting.get(call.identifier()).request().tried().isEmpty() && service.missesTarget(call, now),
                now,
                sink);
        refuseAll(queue, SlotVerdict.DEADLINE_UNREACHABLE, call -> service.missesDeadline(call, now), now, sink);
    }

    /** Refuses the waiting requests that meet a condition. */
    private void refuseAll(
            WaitingCalls queue, SlotVerdict verdict, Predicate<CallState> condition, long now, DecisionSink sink) {
        CallState call = queue.findFirst(condition);
        while (call != null) {
            refuse(waiting.get(call.identifier()), verdict, now, sink);
            call = queue.findFirst(condition);
        }
    }

    /** Grants free slots to waiting requests in their order. */
    private void grantWaiting(WaitingCalls queue, ServiceState service, long now, DecisionSink sink) {
        List<CallState> postponed = new ArrayList<>();
        boolean free = true;
        while (free && queue.size() > 0) {
            CallState call = queue.poll();
            free = tryGrant(waiting.get(call.identifier()), service, now, sink);
            if (!free) {
                postponed.add(call);
            }
        }
        postponed.forEach(queue::offer);
    }

    /** Returns the number of requests that wait. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns the number of slots that are granted to other gateways. */
    public int grantedCount() {
        return allocations.size() - waiting.size();
    }

    /** Delivers replies to gateways. */
    interface ReplySink {

        /**
         * Delivers a reply.
         *
         * @param address the address of the requester, empty for this gateway itself
         */
        void reply(SlotReply reply, String address, long now, DecisionSink sink);
    }

    /**
     * The key of a queue.
     *
     * @param service the name of the service
     * @param dataCentre the data centre of the backend servers
     * @param group the group of backend servers
     */
    private record QueueKey(String service, String dataCentre, int group) {

        /** Returns the key of the queue of a request. */
        private static QueueKey of(SlotRequest request) {
            return new QueueKey(request.service(), request.dataCentre(), request.group());
        }
    }
}
