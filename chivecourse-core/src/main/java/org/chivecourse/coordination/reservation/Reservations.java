package org.chivecourse.coordination.reservation;

import java.util.random.RandomGenerator;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.fleet.FleetPeers;
import org.chivecourse.state.call.CallPhase;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.reservation.NoAllocator;
import org.chivecourse.state.reservation.SlotKey;
import org.chivecourse.state.reservation.SlotOutcome;
import org.chivecourse.state.reservation.SlotRelease;
import org.chivecourse.state.reservation.SlotReply;
import org.chivecourse.state.reservation.SlotRequest;
import org.chivecourse.state.reservation.SlotVerdict;
import org.chivecourse.state.reservation.SlotWay;

/** Requests slots for the calls of this gateway, and releases them when their attempts end. */
public final class Reservations {

    /** The maximum number of gateways that pass a request on: one of each data centre. */
    private static final int MAXIMUM_HOPS = 2;

    /** The time between two looks for late replies beyond which this gateway was held up itself, in nanoseconds. */
    private static final long HELD_UP_NANOSECONDS = 60_000_000L;

    /** The time between two requests while replies come too late to be of use, in nanoseconds. */
    private static final long TRIAL_INTERVAL_NANOSECONDS = 200_000_000L;

    /** Whether slots are requested. */
    private final boolean enabled;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The data centre of this gateway. */
    private final String dataCentre;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** The gateways that do not reply. */
    private final SilentAllocators silent = new SilentAllocators();

    /** The time within which replies come. */
    private final ReplyTimeEstimate replyTimes = new ReplyTimeEstimate();

    /** Elects the allocator of each group of backend servers. */
    private final AllocatorElection election;

    /** Chooses the groups of which slots are requested, and the gateways that are asked. */
    private final SlotTargets targets;

    /** Allocates the slots of the groups for which this gateway is elected. */
    private final SlotAllocator allocator;

    /** Delivers requests and releases to allocators. */
    private final AllocatorLink link;

    /** Continues the calls for which slots were requested. */
    private final ReservedCalls calls;

    /** Counts what becomes of calls by the way in which they came to their slots. */
    private final SlotStatistics statistics;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The requests of calls that have no slot yet. */
    private final PendingRequests pending = new PendingRequests();

    /** The requests for slots in which calls get a hedge. */
    private final HedgeRequests hedges = new HedgeRequests();

    /** Creates the requests. */
    private final SlotRequestFactory requests;

    /** The granted slots that attempts use. */
    private final AttemptSlots attemptSlots;

    /** The time since which this gateway has not been held up, in nanoseconds. */
    private long resumedAt;

    /** The last time at which this gateway looked for late replies, in nanoseconds; negative before the first one. */
    private long lookedAt = -1;

    /** The time of the last request while replies come too late to be of use, in nanoseconds. */
    private long triedAt;

    /**
     * Creates reservations of a gateway without calls.
     *
     * @param enabled whether slots are requested
     */
    public Reservations(
            boolean enabled,
            FleetPeers peers,
            ServiceRegistry services,
            ServerChooser chooser,
            ReservedCalls calls,
            SlotStatistics statistics,
            RandomGenerator random) {
        this.enabled = enabled;
        this.peers = peers;
        this.statistics = statistics;
        requests = new SlotRequestFactory(peers.self(), random);
        dataCentre = peers.self().dataCentre();
        this.services = services;
        this.calls = calls;
        this.random = random;
        GroupRegistry groups = new GroupRegistry();
        election = new AllocatorElection(peers, silent);
        targets = new SlotTargets(peers, groups, election, random);
        allocator = new SlotAllocator(services, groups, chooser, this::sendReply);
        link = new AllocatorLink(peers.self(), allocator);
        attemptSlots = new AttemptSlots(services, calls, link);
    }

    /**
     * Requests a slot for a call.
     *
     * @return {@code false} if no gateway allocates slots for the call, so that this one has to choose by itself
     */
    public boolean request(ServiceState service, CallState call, long now, DecisionSink sink) {
        call.recordSlotWay(SlotWay.NONE);
        NoAllocator obstacle = obstacle(now);
        SlotTarget target = obstacle == null ? targets.draw(service, now) : null;
        if (target == null) {
            recordPassedOver(obstacle == null ? NoAllocator.NO_SERVER : obstacle);
            return false;
        }
        if (!targets.isHere(target)) {
            if (launchLimited(call, now, sink)) {
                return true;
            }
            recordCrossing(service, now);
        }
        call.recordSlotWay(SlotWay.REQUESTED);
        ask(call, target, false, now, sink);
        return true;
    }

    /**
     * Requests a slot in which a call gets a hedge, unless one was requested a short time ago.
     *
     * @return {@code false} if no gateway allocates slots for the call, so that this one has to choose by itself
     */
    public boolean requestHedge(ServiceState service, CallState call, long now, DecisionSink sink) {
        if (!hedges.due(call, now)) {
            return true;
        }
        SlotTarget target = obstacle(now) == null ? targets.draw(service, now) : null;
        if (target != null) {
            SlotRequest request = requests.create(call, target.dataCentre(), target.group(), true, now);
            hedges.record(call, request.requester().number(), now);
            link.send(request, target.recipient(), now, sink);
        }
        return target != null;
    }

    /**
     * Returns why nobody is asked for slots, {@code null} if allocators are. They are of no use while their replies
     * take longer than the digests that tell the load of backend servers.
     */
    private NoAllocator obstacle(long now) {
        NoAllocator obstacle = enabled ? election.obstacle(now) : NoAllocator.OTHER_POLICY;
        boolean slow = obstacle == null && replyTimes.slowerThan(peers.localDigestIntervalNanoseconds());
        if (slow && now - triedAt < TRIAL_INTERVAL_NANOSECONDS) {
            return NoAllocator.SLOW;
        }
        triedAt = slow ? now : triedAt;
        return obstacle;
    }

    /** Records why nobody is asked for a slot, where gateways request slots. */
    private void recordPassedOver(NoAllocator reason) {
        if (enabled) {
            statistics.recordPassedOver(reason);
        }
    }

    /** Records that loads of other data centres are needed, since this one has no backend server for a call. */
    private static void recordCrossing(ServiceState service, long now) {
        if (service.crossing() != null) {
            service.crossing().need(now);
        }
    }

    /** Requests a slot of a group for a call. */
    private void ask(CallState call, SlotTarget target, boolean immediate, long now, DecisionSink sink) {
        SlotRequest request = requests.create(call, target.dataCentre(), target.group(), immediate, now);
        pending.add(new PendingRequest(call, request, target.recipient(), now));
        silent.recordRequest(now);
        link.send(request, target.recipient(), now, sink);
    }

    /** Delivers a reply of this gateway's allocator. */
    private void sendReply(SlotReply reply, String recipient, long now, DecisionSink sink) {
        if (recipient.isEmpty()) {
            handleReply(reply, "", now, sink);
        } else {
            sink.decide(new Decision.ReplySlot(recipient, reply));
        }
    }

    /**
     * Handles another gateway's request for a slot, or passes it on to the data centre or allocator that it is for.
     *
     * @param sender the address of the gateway that sent it
     */
    public void handleRequest(SlotRequest request, String sender, long now, DecisionSink sink) {
        boolean here = request.dataCentre().equals(dataCentre);
        if (here && request.replyAddress().isEmpty()) {
            allocator.handle(request, sender, now, sink);
            return;
        }
        Member next = here
                ? election.allocator(request.service(), request.group(), now)
                : election.way(request.dataCentre(), random, now);
        if (next != null && link.isOwn(next)) {
            allocator.handle(request, request.replyAddress(), now, sink);
        } else if (next != null && request.hops() < MAXIMUM_HOPS) {
            sink.decide(new Decision.RequestSlot(next.address(), request.passedOn()));
        }
    }

    /** Handles another gateway's release of a slot. */
    public void handleRelease(SlotRelease release, long now, DecisionSink sink) {
        allocator.release(release, now, sink);
    }

    /**
     * Handles a reply to a request. A slot that is no longer needed is released.
     *
     * @param address the address of the allocator, empty for this gateway itself
     */
    public void handleReply(SlotReply reply, String address, long now, DecisionSink sink) {
        SlotKey requester = reply.requester();
        if (!requests.created(requester)) {
            return;
        }
        PendingRequest request = pending.get(requester.number());
        if (request != null) {
            recordReply(request, address, now);
            handleReply(request, reply, address, now, sink);
        } else if (reply.verdict() == SlotVerdict.GRANTED && !attemptSlots.uses(requester)) {
            attemptSlots.launchHedge(hedges.call(requester.number()), reply, address, now, sink);
        }
    }

    /** Records that the allocator of a request replied, however late. */
    private void recordReply(PendingRequest request, String address, long now) {
        if (!request.answered() && !link.isOwn(request.recipient())) {
            replyTimes.record(now - request.requestedAt());
            statistics.recordReply(now - request.requestedAt());
        }
        silent.recordReply(request.recipient().name());
        request.recordReply(address);
    }

    /** Handles a reply to a request of a call that has no slot yet. */
    private void handleReply(PendingRequest request, SlotReply reply, String address, long now, DecisionSink sink) {
        CallState call = request.call();
        if (reply.verdict() == SlotVerdict.QUEUED) {
            call.recordSlotWay(SlotWay.WAITED);
            leaveQueue(request, now, sink);
            return;
        }
        pending.remove(request);
        if (reply.verdict() == SlotVerdict.GRANTED) {
            cancelAll(call, now, sink);
            launch(call, reply, address, now, sink);
        } else if (!pending.queues(call)) {
            endWithoutSlot(call, reply.verdict(), now, sink);
        }
    }

    /** Continues a call that no allocator may grant a slot any more. */
    private void endWithoutSlot(CallState call, SlotVerdict verdict, long now, DecisionSink sink) {
        cancelAll(call, now, sink);
        if (verdict.full() && launchLimited(call, now, sink)) {
            return;
        }
        call.recordSlotWay(verdict.full() ? SlotWay.REFUSED : SlotWay.NOT_ALLOCATED);
        switch (verdict) {
            case NO_ROOM -> calls.refuse(call, Reason.NO_ROOM, now, sink);
            case QUEUE_FULL -> calls.refuse(call, Reason.QUEUE_FULL, now, sink);
            case DEADLINE_UNREACHABLE -> calls.refuse(call, Reason.DEADLINE_UNREACHABLE, now, sink);
            default -> calls.continueWithoutReservation(call, now, sink);
        }
    }

    /** Starts an attempt of a call at a backend server that no allocator grants, if this gateway may send to one. */
    private boolean launchLimited(CallState call, long now, DecisionSink sink) {
        SlotWay earlier = call.slotWay();
        call.recordSlotWay(SlotWay.LIMITED);
        boolean launched = calls.launchLimited(call, now, sink);
        if (!launched) {
            call.recordSlotWay(earlier);
        }
        return launched;
    }

    /** Looks for a backend server that no allocator places requests on, or else for a free slot in another group. */
    private void leaveQueue(PendingRequest request, long now, DecisionSink sink) {
        CallState call = request.call();
        if (!request.queues()) {
            return;
        }
        if (launchLimited(call, now, sink)) {
            cancelAll(call, now, sink);
            return;
        }
        ServiceState service = services.service(call.terms().service());
        SlotRequest queued = request.request();
        SlotTarget there = service == null
                ? null
                : targets.drawBeside(service, queued.dataCentre(), queued.group(), calls.mayLeave(call, now), now);
        if (there != null) {
            pending.ofCall(call).stream().filter(other -> !other.queues()).forEach(pending::remove);
            ask(call, there, true, now, sink);
        }
    }

    /** Starts an attempt at the backend server of a granted slot, or goes on without it if that is not possible. */
    private void launch(CallState call, SlotReply reply, String address, long now, DecisionSink sink) {
        call.recordSlotWay(call.slotWay() == SlotWay.REQUESTED ? SlotWay.GRANTED : SlotWay.WAITED);
        if (!attemptSlots.launch(call, reply, address, now, sink)) {
            call.recordSlotWay(SlotWay.UNUSABLE);
            calls.continueWithoutReservation(call, now, sink);
        }
    }

    /** Cancels the requests of a call that ended or goes on without them. */
    private void cancelAll(CallState call, long now, DecisionSink sink) {
        for (PendingRequest request : pending.ofCall(call)) {
            pending.remove(request);
            SlotKey requester = request.request().requester();
            link.release(requester, request.address(), SlotOutcome.CANCELLED, null, now, sink);
        }
    }

    /** Cancels the requests of calls that have ended, and releases the slots of attempts that have. */
    public void settle(long now, DecisionSink sink) {
        for (PendingRequest request : pending.all()) {
            if (request.call().phase() == CallPhase.FINISHED) {
                cancelAll(request.call(), now, sink);
            }
        }
        hedges.removeEnded();
        attemptSlots.settle(now, sink);
    }

    /** Sends requests again, asks others than allocators whose replies are late, and grants the slots that are free. */
    public void advanceTime(long now, DecisionSink sink) {
        if (lookedAt < 0 || now - lookedAt > HELD_UP_NANOSECONDS) {
            resumedAt = now;
        }
        lookedAt = now;
        for (PendingRequest request : pending.all()) {
            if (!pending.contains(request) || !request.queues() || request.overdue()) {
                continue;
            }
            boolean own = link.isOwn(request.recipient());
            if (!own && request.late(replyTimes.timeoutNanoseconds(), resumedAt, now)) {
                askAnother(request, now, sink);
            } else if (request.repetitionDue(now)) {
                request.recordRepetition(now);
                repeat(request, own, now, sink);
            }
        }
        allocator.advanceTime(now, sink);
    }

    /** Sends a request again. For one that waits at this gateway itself, looks for a slot of another group again. */
    private void repeat(PendingRequest request, boolean own, long now, DecisionSink sink) {
        if (own) {
            request.recordReply("");
            leaveQueue(request, now, sink);
        } else {
            sink.decide(new Decision.RequestSlot(request.recipient().address(), request.request()));
        }
    }

    /**
     * Asks another allocator for a call, since the reply of one is late. The call goes on by this gateway's own choice
     * if that was done before, there is none, or this gateway knows the load of backend servers sooner than it replies.
     */
    private void askAnother(PendingRequest request, long now, DecisionSink sink) {
        recordSilence(request.recipient(), now, sink);
        request.recordOverdue();
        CallState call = request.call();
        boolean first = pending.ofCall(call).stream().noneMatch(other -> other != request && other.queues());
        ServiceState service = services.service(call.terms().service());
        boolean asks = peers.localDigestIntervalNanoseconds() > replyTimes.timeoutNanoseconds()
                && election.obstacle(now) == null;
        SlotTarget other = first && service != null && asks
                ? targets.drawOfOther(service, request.recipient(), calls.mayLeave(call, now), now)
                : null;
        if (other != null) {
            ask(call, other, false, now, sink);
        } else if (pending.ofCall(call).stream().noneMatch(waiting -> waiting.queues() && !waiting.overdue())) {
            cancelAll(call, now, sink);
            call.recordSlotWay(SlotWay.UNANSWERED);
            calls.continueWithoutReservation(call, now, sink);
        }
    }

    /** Records that a reply is late, and audits it if the gateway is not asked any more for some time. */
    private void recordSilence(Member late, long now, DecisionSink sink) {
        statistics.recordPassedOver(NoAllocator.SILENT);
        if (silent.recordSilence(late.name(), now)) {
            sink.decide(new Decision.Audit(new Decision.Change(
                    Decision.Subject.GATEWAY,
                    late.name(),
                    "allocating",
                    "silent",
                    "no reply about a slot",
                    services.configuration().revision())));
        }
    }

    /** Returns the granted slots that attempts use. */
    public AttemptSlots attemptSlots() {
        return attemptSlots;
    }

    /** Returns what became of calls by the way in which they came to their slots. */
    public SlotStatistics statistics() {
        return statistics;
    }

    /** Returns the allocator of this gateway. */
    public SlotAllocator allocator() {
        return allocator;
    }

    /** Returns the number of times that an allocator did not reply in time. */
    public long unansweredCount() {
        return statistics.passedOver(NoAllocator.SILENT);
    }

    /** Returns the number of calls for which a slot was requested and not granted or refused yet. */
    public int pendingCount() {
        return pending.callCount();
    }
}
