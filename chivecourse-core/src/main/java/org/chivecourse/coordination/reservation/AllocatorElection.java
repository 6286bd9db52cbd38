package org.chivecourse.coordination.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.fleet.FleetPeer;
import org.chivecourse.coordination.fleet.FleetPeers;
import org.chivecourse.coordination.fleet.RendezvousHash;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.reservation.NoAllocator;

/**
 * Elects the allocator of a group of backend servers among the live gateways of a data centre, without coordination.
 * Gateways that disagree for a short time ask different ones, which only costs placement.
 */
final class AllocatorElection {

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The gateways that do not reply. */
    private final SilentAllocators silent;

    /** Creates an election. */
    AllocatorElection(FleetPeers peers, SilentAllocators silent) {
        this.peers = peers;
        this.silent = silent;
    }

    /**
     * Returns why nobody is asked for slots, {@code null} if allocators are: there are other live gateways, at least
     * half of those of this data centre allocate slots, and this one is not cut off from them. Gateways that allocate
     * none choose by what they are told of each request, which they are not of those that allocators place.
     */
    NoAllocator obstacle(long now) {
        List<FleetPeer> live = peers.live(now);
        if (live.isEmpty()) {
            return NoAllocator.ALONE;
        }
        int local = 1;
        int others = 0;
        for (FleetPeer peer : live) {
            local += peers.isLocal(peer) ? 1 : 0;
            others += peers.isLocal(peer) && !peer.latestDigest().allocatesSlots() ? 1 : 0;
        }
        if (2 * others > local) {
            return NoAllocator.OTHER_POLICY;
        }
        return silent.cutOff(now) ? NoAllocator.SUSPECTED : null;
    }

    /**
     * Returns the allocator of a group of this data centre, which may be this gateway. One that is suspected to be
     * silent is replaced by the next.
     */
    Member allocator(String service, int group, long now) {
        String key = service + '/' + group;
        Member best = peers.self();
        for (FleetPeer peer : peers.live(now)) {
            boolean eligible = peers.isLocal(peer)
                    && peer.latestDigest().allocatesSlots()
                    && !silent.suspected(peer.member().name(), now);
            if (eligible && RendezvousHash.ranksAbove(peer.member().name(), best.name(), key)) {
                best = peer.member();
            }
        }
        return best;
    }

    /**
     * Returns a gateway that passes requests on to another data centre: one of its live gateways, or else a gateway of
     * this data centre that exchanges digests with others. Returns this gateway if it does so itself and knows no live
     * gateway there, so that it has to allocate in their place; {@code null} if no way is known.
     */
    Member way(String dataCentre, RandomGenerator random, long now) {
        List<Member> there = new ArrayList<>();
        List<Member> bridges = new ArrayList<>();
        for (FleetPeer peer : peers.live(now)) {
            if (!peer.latestDigest().allocatesSlots()
                    || silent.suspected(peer.member().name(), now)) {
                continue;
            }
            if (peer.member().dataCentre().equals(dataCentre)) {
                there.add(peer.member());
            } else if (peers.isLocal(peer) && peers.isBridge(peer, now)) {
                bridges.add(peer.member());
            }
        }
        if (there.isEmpty() && peers.isBridge(now)) {
            return peers.self();
        }
        List<Member> ways = there.isEmpty() ? bridges : there;
        return ways.isEmpty() ? null : ways.get(random.nextInt(ways.size()));
    }
}
