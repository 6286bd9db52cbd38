package org.chivecourse.coordination.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.chivecourse.coordination.fleet.RendezvousHash;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;

/**
 * The backend servers of a service in a data centre, in groups that one gateway each allocates. The groups follow
 * from the identities, so that gateways which know the same backend servers form the same groups.
 */
public final class ServerGroups {

    /** The number of backend servers of a group, beyond which their requests profit little from a common allocator. */
    private static final int SERVERS_PER_GROUP = 24;

    /** The backend servers in use that the groups were formed of. */
    private final List<ServerState> source;

    /** The members of each group. */
    private final List<List<ServerState>> groups = new ArrayList<>();

    /**
     * Forms the groups.
     *
     * @param serversInUse the backend servers of the service that may get requests
     * @param dataCentre the data centre
     */
    ServerGroups(List<ServerState> serversInUse, String dataCentre) {
        source = serversInUse;
        List<ServerState> members = serversInUse.stream()
                .filter(server -> isAllocated(server, dataCentre))
                .toList();
        int count = (members.size() + SERVERS_PER_GROUP - 1) / SERVERS_PER_GROUP;
        for (int group = 0; group < count; group++) {
            groups.add(new ArrayList<>());
        }
        members.forEach(server -> groups.get(groupOf(server.identity(), count)).add(server));
    }

    /** Returns whether a backend server belongs to a group: it announced itself in the data centre. */
    private static boolean isAllocated(ServerState server, String dataCentre) {
        return server.server().announced() && server.server().dataCentre().equals(dataCentre);
    }

    /** Returns the group of a backend server. */
    private static int groupOf(String identity, int count) {
        int best = 0;
        for (int group = 1; group < count; group++) {
            if (RendezvousHash.ranksAbove(Integer.toString(group), Integer.toString(best), identity)) {
                best = group;
            }
        }
        return best;
    }

    /** Returns whether the groups were formed of a list. */
    boolean formedOf(List<ServerState> serversInUse) {
        return source == serversInUse;
    }

    /** Returns the number of slots that may be granted in the groups that meet a condition, if they are free. */
    int slots(IntPredicate condition, long now) {
        return IntStream.range(0, groups.size())
                .filter(condition)
                .map(group -> slots(groups.get(group), now))
                .sum();
    }

    /** Returns whether slots of a group may be granted, if they are free. */
    boolean grantable(int group, long now) {
        return slots(members(group), now) > 0;
    }

    /** Returns the members of a group, none if there is no such group. */
    List<ServerState> members(int group) {
        return group >= 0 && group < groups.size() ? groups.get(group) : List.of();
    }

    /**
     * Draws a group that meets a condition, with a probability in proportion to the slots that may be granted.
     *
     * @return the group, negative if none has such a slot
     */
    int draw(IntPredicate condition, RandomGenerator random, long now) {
        int slots = 0;
        int drawn = -1;
        for (int group = 0; group < groups.size(); group++) {
            int groupSlots = condition.test(group) ? slots(groups.get(group), now) : 0;
            slots += groupSlots;
            if (groupSlots > 0 && random.nextInt(slots) < groupSlots) {
                drawn = group;
            }
        }
        return drawn;
    }

    /**
     * Returns whether a backend server limits what each gateway may send, so that no other one may grant its slots:
     * while it is cold, states a request limit or has asked for rest.
     */
    public static boolean limited(ServerState server, long now) {
        return server.allowance().limited(now)
                || server.warmUp().limited(now)
                || server.rest().requested();
    }

    /** Returns the number of slots of a group that may be granted, if they are free. */
    private static int slots(List<ServerState> members, long now) {
        int slots = 0;
        for (ServerState server : members) {
            boolean grantable = server.leavingCause() == LeavingCause.NONE && !limited(server, now);
            slots += grantable ? server.server().slots() : 0;
        }
        return slots;
    }
}
