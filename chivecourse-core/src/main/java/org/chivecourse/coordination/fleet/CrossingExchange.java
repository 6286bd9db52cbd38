package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.chivecourse.coordination.call.ServiceRegistry;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.crossing.RoomSummary;
import org.chivecourse.coordination.crossing.WantedServices;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.fleet.Room;

/**
 * What data centres tell each other so that calls can leave: the room of each, and the loads of single backend servers
 * where another data centre asked for them. Without the setting for it, all loads are relayed to all data centres.
 */
final class CrossingExchange {

    /** The maximum number of rooms in a digest. */
    private static final int MAXIMUM_ROOMS = 16;

    /** The maximum number of characters of the needed services that a digest names. */
    private static final int MAXIMUM_NEEDS_CHARACTERS = 120;

    /** The maximum length of the names of the services whose room a digest tells, in characters. */
    private static final int MAXIMUM_ROOM_CHARACTERS = 360;

    /** The other gateways of the fleet. */
    private final FleetPeers peers;

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Whether calls are kept in their data centre unless leaving pays. */
    private final boolean enabled;

    /** The services whose loads other gateways asked for. */
    private final WantedServices wanted = new WantedServices();

    /** The services that this gateway last asked other data centres for. */
    private Set<String> told = Set.of();

    /** The services whose loads this gateway needed at the last update. */
    private List<String> neededBefore = List.of();

    /** Creates an exchange without any request. */
    CrossingExchange(FleetPeers peers, ServiceRegistry services, boolean enabled) {
        this.peers = peers;
        this.services = services;
        this.enabled = enabled;
        services.observations().setRemoteFilter(this::neededElsewhere);
    }

    /** Returns whether calls are kept in their data centre unless leaving pays. */
    boolean enabled() {
        return enabled;
    }

    /** Applies what a digest says of its data centre's room and needs. */
    void receive(FleetDigest digest, boolean local, long now) {
        if (!enabled) {
            return;
        }
        String dataCentre = digest.sender().dataCentre();
        long lifetime = local ? WantedServices.LOCAL_LIFETIME_NANOSECONDS : WantedServices.REMOTE_LIFETIME_NANOSECONDS;
        wanted.record(dataCentre, digest.wantedServices(), lifetime, now);
        if (local) {
            return;
        }
        for (Room room : digest.rooms()) {
            ServiceState service = services.service(room.service());
            if (service != null && service.crossing() != null) {
                service.crossing().record(dataCentre, room, peers.dataCentreSize(now), now);
                RoomSummary.INSTANCE.divide(dataCentre, room, service.serversInUse());
            }
        }
    }

    /** Returns whether a digest for other data centres has space for the rooms of this one. */
    static boolean hasSpaceIn(FleetDigest digest) {
        return digest.crashes().isEmpty()
                && digest.answeredRequests().isEmpty()
                && digest.limitReports().isEmpty()
                && digest.warmUps().isEmpty();
    }

    /** Audits the services whose calls begin or cease to have a reason to leave their data centre. */
    void auditNeeds(long now, DecisionSink sink) {
        List<String> needed = enabled ? ownNeeds(now) : List.of();
        if (needed.equals(neededBefore)) {
            return;
        }
        for (String service : needed) {
            if (!neededBefore.contains(service)) {
                audit(service, "staying", "leaving", "a call would have missed its target latency", sink);
            }
        }
        for (String service : neededBefore) {
            if (!needed.contains(service)) {
                audit(service, "leaving", "staying", "no call had a reason to leave for a while", sink);
            }
        }
        neededBefore = needed;
    }

    /** Audits a change of what calls of a service do. */
    private void audit(String service, String from, String to, String cause, DecisionSink sink) {
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.CROSSING,
                service,
                from,
                to,
                cause,
                services.configuration().revision())));
    }

    /** Adds to a digest for this data centre the services whose loads this gateway needs. */
    FleetDigest completeLocal(FleetDigest digest, long now) {
        return enabled ? digest.withCrossings(List.of(), ownNeeds(now)) : digest;
    }

    /** Adds to a digest for other data centres what this one has and needs, if this gateway relays. */
    FleetDigest completeRemote(FleetDigest digest, long now) {
        if (!enabled || !RelayElection.INSTANCE.isRelay(peers, now)) {
            return digest;
        }
        List<String> needs = needsOfDataCentre(now);
        told = new HashSet<>(needs);
        return digest.withCrossings(rooms(now), needs);
    }

    /** Returns whether this gateway relays and has to ask other data centres for a service now. */
    boolean mustAsk(long now) {
        return enabled && !told.containsAll(needsOfDataCentre(now)) && RelayElection.INSTANCE.isRelay(peers, now);
    }

    /** Returns the services whose loads this gateway needs. */
    private List<String> ownNeeds(long now) {
        List<String> needs = new ArrayList<>();
        int characters = 0;
        for (ServiceState service : services.all()) {
            String name = service.service().name();
            boolean needed = service.crossing() != null && service.crossing().needed(now);
            if (needed && characters + name.length() <= MAXIMUM_NEEDS_CHARACTERS) {
                needs.add(name);
                characters += name.length();
            }
        }
        return needs;
    }

    /** Returns the services whose loads this gateway or another one of its data centre needs. */
    private List<String> needsOfDataCentre(long now) {
        Set<String> needs = new TreeSet<>(wanted.ofDataCentre(peers.self().dataCentre(), now));
        needs.addAll(ownNeeds(now));
        int characters = 0;
        for (Iterator<String> names = needs.iterator(); names.hasNext(); ) {
            characters += names.next().length();
            if (characters > MAXIMUM_NEEDS_CHARACTERS) {
                names.remove();
            }
        }
        return List.copyOf(needs);
    }

    /** Returns the room of this data centre for each service that has backend servers in it. */
    private List<Room> rooms(long now) {
        List<Room> rooms = new ArrayList<>();
        int characters = 0;
        for (ServiceState service : services.all()) {
            String name = service.service().name();
            characters += name.length();
            if (characters > MAXIMUM_ROOM_CHARACTERS || service.links().lost()) {
                continue;
            }
            int needing = wanted.countNeeding(peers.self().dataCentre(), name, now);
            Room room = RoomSummary.INSTANCE.of(name, service.serversInUse(), needing, now);
            if (room != null && rooms.size() < MAXIMUM_ROOMS) {
                rooms.add(room);
            }
        }
        return rooms;
    }

    /** Returns whether some other data centre needs an observation. */
    private boolean neededElsewhere(Observation observation) {
        String own = peers.self().dataCentre();
        return needed(observation, service -> wanted.countNeeding(own, service, observation.observedAt()) > 0);
    }

    /** Returns whether a data centre needs an observation. */
    boolean neededBy(String dataCentre, Observation observation, long now) {
        return needed(observation, service -> wanted.needs(dataCentre, service, now));
    }

    /**
     * Returns whether an observation is needed: always, unless it is of a kind that only those need who ask for its
     * service.
     *
     * @param wantsService whether a service is asked for
     */
    private boolean needed(Observation observation, Predicate<String> wantsService) {
        if (!enabled || !observation.kind().urgent()) {
            return true;
        }
        ServiceState service = services.serviceOf(observation.server());
        return service != null && wantsService.test(service.service().name());
    }
}
