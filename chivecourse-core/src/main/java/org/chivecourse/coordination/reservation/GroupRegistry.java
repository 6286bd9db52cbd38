package org.chivecourse.coordination.reservation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.state.server.ServerState;

/** The groups of backend servers of all services and data centres, formed again whenever backend servers change. */
final class GroupRegistry {

    /** The groups, by service and data centre. */
    private final Map<Key, ServerGroups> groups = new HashMap<>();

    /** Returns the groups of a service's backend servers in a data centre. */
    ServerGroups groups(ServiceState service, String dataCentre) {
        Key key = new Key(service.service().name(), dataCentre);
        ServerGroups known = groups.get(key);
        if (known == null || !known.formedOf(service.serversInUse())) {
            known = new ServerGroups(service.serversInUse(), dataCentre);
            groups.put(key, known);
        }
        return known;
    }

    /** Returns the members of a group, none if there is no such group. */
    List<ServerState> members(ServiceState service, String dataCentre, int group) {
        return groups(service, dataCentre).members(group);
    }

    /**
     * Returns whether slots of a group may be granted, if they are free.
     *
     * @param service the service, {@code null} if there is none
     */
    boolean grantable(ServiceState service, String dataCentre, int group, long now) {
        return service != null && groups(service, dataCentre).grantable(group, now);
    }

    /**
     * Draws a data centre with a probability in proportion to the slots that may be granted in its groups.
     *
     * @param eligible tells which groups of a data centre count
     * @return the data centre, empty if none has such a slot
     */
    String drawDataCentre(
            ServiceState service, Function<String, IntPredicate> eligible, RandomGenerator random, long now) {
        TreeSet<String> dataCentres = new TreeSet<>();
        service.serversInUse().forEach(server -> dataCentres.add(server.server().dataCentre()));
        int sum = 0;
        String drawn = "";
        for (String dataCentre : dataCentres) {
            int slots = groups(service, dataCentre).slots(eligible.apply(dataCentre), now);
            sum += slots;
            if (slots > 0 && random.nextInt(sum) < slots) {
                drawn = dataCentre;
            }
        }
        return drawn;
    }

    /**
     * The key of the groups.
     *
     * @param service the name of the service
     * @param dataCentre the data centre
     */
    private record Key(String service, String dataCentre) {}
}
