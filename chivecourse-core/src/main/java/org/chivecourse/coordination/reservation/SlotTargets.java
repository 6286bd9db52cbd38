package org.chivecourse.coordination.reservation;

import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.fleet.FleetPeers;
import org.chivecourse.state.fleet.Member;

/** Chooses the groups of backend servers of which slots are requested, and the gateways that are asked. */
final class SlotTargets {

    /** The data centre of this gateway. */
    private final String dataCentre;

    /** The groups of backend servers. */
    private final GroupRegistry groups;

    /** Elects the allocator of each group of backend servers. */
    private final AllocatorElection election;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** Creates a choice of targets. */
    SlotTargets(FleetPeers peers, GroupRegistry groups, AllocatorElection election, RandomGenerator random) {
        dataCentre = peers.self().dataCentre();
        this.groups = groups;
        this.election = election;
        this.random = random;
    }

    /**
     * Draws a group of this data centre by its slots, or else one of another data centre. While backend servers here
     * rest, others often do too, and calls that have to be refused do not wait for a reply from elsewhere.
     *
     * @return the target, {@code null} if no backend server may be granted or no way to one is known
     */
    SlotTarget draw(ServiceState service, long now) {
        SlotTarget here = drawHere(service, group -> true, now);
        return here != null || restsHere(service) ? here : drawElsewhere(service, now);
    }

    /** Returns whether a backend server of this data centre has asked for rest. */
    private static boolean restsHere(ServiceState service) {
        return service.serversInUse().stream()
                .anyMatch(server -> server.local() && server.rest().requested());
    }

    /**
     * Draws a group that another gateway than the given one allocates: one of this data centre, or else one of another.
     *
     * @param leaves whether the call may leave this data centre
     * @return the target, {@code null} if there is none
     */
    SlotTarget drawOfOther(ServiceState service, Member asked, boolean leaves, long now) {
        SlotTarget here = drawHere(service, group -> !allocates(asked, service, group, now), now);
        if (here != null || !leaves) {
            return here;
        }
        SlotTarget there = drawElsewhere(service, now);
        return there == null || there.recipient().equals(asked) ? null : there;
    }

    /**
     * Draws another group than the given one by its slots, for a call that waits there.
     *
     * @param leaves whether the call may leave this data centre
     * @return the target, {@code null} if there is none
     */
    SlotTarget drawBeside(ServiceState service, String place, int group, boolean leaves, long now) {
        return drawAmong(
                service,
                other -> index -> (leaves || other.equals(dataCentre)) && !(other.equals(place) && index == group),
                now);
    }

    /** Returns whether a gateway allocates a group of this data centre. */
    private boolean allocates(Member member, ServiceState service, int group, long now) {
        return election.allocator(service.service().name(), group, now).equals(member);
    }

    /** Draws a group of this data centre that meets a condition, {@code null} if there is none. */
    private SlotTarget drawHere(ServiceState service, IntPredicate condition, long now) {
        return target(service, dataCentre, groups.groups(service, dataCentre).draw(condition, random, now), now);
    }

    /** Draws a group of another data centre by its slots, {@code null} if there is none. */
    private SlotTarget drawElsewhere(ServiceState service, long now) {
        return drawAmong(service, place -> group -> !place.equals(dataCentre), now);
    }

    /**
     * Draws one of the groups of all data centres.
     *
     * @param eligible tells which groups of a data centre count
     */
    private SlotTarget drawAmong(ServiceState service, Function<String, IntPredicate> eligible, long now) {
        String place = groups.drawDataCentre(service, eligible, random, now);
        return place.isEmpty()
                ? null
                : target(service, place, groups.groups(service, place).draw(eligible.apply(place), random, now), now);
    }

    /** Returns the target of a group, {@code null} for a negative one or if no way to it is known. */
    private SlotTarget target(ServiceState service, String place, int group, long now) {
        if (group < 0) {
            return null;
        }
        Member recipient = place.equals(dataCentre)
                ? election.allocator(service.service().name(), group, now)
                : election.way(place, random, now);
        return recipient == null ? null : new SlotTarget(place, group, recipient);
    }

    /** Returns whether a target is in this data centre. */
    boolean isHere(SlotTarget target) {
        return target.dataCentre().equals(dataCentre);
    }
}
