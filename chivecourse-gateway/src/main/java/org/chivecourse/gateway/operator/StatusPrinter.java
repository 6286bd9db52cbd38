package org.chivecourse.gateway.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.coordination.configuration.ConfigurationRegistry;
import org.chivecourse.coordination.crossing.ServiceCrossing;
import org.chivecourse.coordination.evacuation.Evacuation;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.membership.Membership;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.coordination.reservation.Reservations;
import org.chivecourse.gateway.audit.AuditRecord;
import org.chivecourse.state.peer.PeerState;
import org.chivecourse.state.publication.PublicationRevision;
import org.chivecourse.state.server.ServerState;
import org.chivecourse.state.server.ServerWarmUp;
import org.chivecourse.transport.crossing.CrossingMetrics;

/** Builds the status document of a gateway. */
public final class StatusPrinter {

    /** The number of nanoseconds in a second. */
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The remaining time of a backend server that is cold until it is heard, in milliseconds. */
    private static final long UNTIL_HEARD = -1;

    /** Creates the nodes of the document. */
    private final ObjectMapper mapper = new ObjectMapper();

    /** Adds the slots that are requested, and those that this gateway grants to others. */
    private static void addReservations(ObjectNode node, Reservations reservations) {
        node.put("requested", reservations.pendingCount());
        node.put("unanswered", reservations.unansweredCount());
        node.put("granted", reservations.allocator().grantedCount());
        node.put("waiting", reservations.allocator().waitingCount());
        SlotReport.add(node, reservations.statistics());
    }

    /**
     * Builds the status document.
     *
     * @param host the name of the host
     * @param state the lifecycle state of the gateway
     * @param core the decision core, which no other thread may change during the call
     * @param now the time in nanoseconds
     * @param changes the latest changes, the newest last
     * @return the document
     */
    public ObjectNode status(String host, String state, HostCore core, long now, List<AuditRecord> changes) {
        ObjectNode root = mapper.createObjectNode();
        root.put("host", host);
        root.put("state", state);
        root.put("open-calls", core.openCalls());
        addConfiguration(root.putObject("configuration"), core.configurations());
        addPublication(root.putObject("publication"), core.publishedState());
        ArrayNode evacuations = root.putArray("evacuated-data-centres");
        core.services()
                .evacuations()
                .all()
                .forEach(evacuation -> addEvacuation(evacuations.addObject(), evacuation, core, now));
        addReservations(root.putObject("slots"), core.reservations());
        ArrayNode hostNodes = root.putArray("hosts");
        core.membership().peers().forEach(peer -> addPeer(hostNodes.addObject(), peer, core.membership(), now));
        ArrayNode blockedRequests = root.putArray("convictions");
        core.poisonRequests()
                .blockedRequests(now)
                .forEach((fingerprint, remainingNanoseconds) -> blockedRequests
                        .addObject()
                        .put("fingerprint", Long.toHexString(fingerprint))
                        .put("seconds", remainingNanoseconds / NANOSECONDS_PER_SECOND));
        ArrayNode serviceNodes = root.putArray("services");
        core.services().all().forEach(service -> addService(serviceNodes.addObject(), service, now));
        ArrayNode changeNodes = root.putArray("changes");
        changes.forEach(change -> addChange(changeNodes.addObject(), change));
        return root;
    }

    /**
     * Adds the configuration in force, its conflicts and the last rejection.
     *
     * @param node receives the members
     * @param configurations the registry of configurations
     */
    private static void addConfiguration(ObjectNode node, ConfigurationRegistry configurations) {
        node.put("revision", configurations.revision());
        configurations.current().ifPresent(current -> {
            node.put("digest", current.printed().digest());
            ArrayNode dangers = node.putArray("dangers");
            current.dangers().forEach(danger -> dangers.add(danger.problem()));
        });
        node.put("conflict", configurations.conflict());
        node.put("last-rejection", configurations.rejection());
    }

    /**
     * Adds up to where the published items are known, and whether the publisher lost any.
     *
     * @param node receives the members
     * @param publishedState the published items
     */
    private static void addPublication(ObjectNode node, PublishedState publishedState) {
        node.put("epoch", PublicationRevision.epoch(publishedState.revision()));
        node.put("revision", PublicationRevision.number(publishedState.revision()));
        node.put("epoch-changes", publishedState.epochChanges());
        node.put("retained-configuration", publishedState.retainedConfigurationRevision());
    }

    /**
     * Adds an evacuated data centre, with the requests of this gateway that are still under way there.
     *
     * @param node receives the members
     * @param evacuation the evacuation
     * @param core the decision core
     * @param now the time in nanoseconds
     */
    private static void addEvacuation(ObjectNode node, Evacuation evacuation, HostCore core, long now) {
        int inFlight = core.services().all().stream()
                .flatMap(service -> service.servers().stream())
                .filter(server -> server.server().dataCentre().equals(evacuation.dataCentre()))
                .mapToInt(ServerState::ownInFlight)
                .sum();
        node.put("data-centre", evacuation.dataCentre());
        node.put("for-milliseconds", (now - evacuation.since()) / NANOSECONDS_PER_MILLISECOND);
        node.put("in-flight", inFlight);
        ArrayNode requests = node.putArray("requested-by");
        evacuation
                .requests()
                .forEach(request -> requests.addObject()
                        .put("origin", ConstantNames.of(request.origin()))
                        .put("name", request.name())
                        .put("revision", PublicationRevision.number(request.revision()))
                        .put("source", request.source()));
    }

    /**
     * Adds another gateway. Its revision is reported as the last known one if its latest digest is too old.
     *
     * @param node receives the members
     * @param peer the state of the other gateway
     * @param membership determines whether the other gateway is reachable
     * @param now the time in nanoseconds
     */
    private static void addPeer(ObjectNode node, PeerState peer, Membership membership, long now) {
        boolean reachable = membership.reachable(peer, now);
        node.put("name", peer.host().name());
        node.put("data-centre", peer.host().dataCentre());
        node.put("known", reachable);
        node.put("silent-milliseconds", peer.timeSinceReceived(now) / NANOSECONDS_PER_MILLISECOND);
        if (peer.latestDigest() != null) {
            node.put(
                    reachable ? "revision" : "last-known-revision",
                    peer.latestDigest().revision());
            node.put("stopping", peer.latestDigest().stopping());
        }
    }

    /**
     * Adds a service and its backend servers.
     *
     * @param node receives the members
     * @param service the state of the service
     * @param now the time in nanoseconds
     */
    private static void addService(ObjectNode node, ServiceState service, long now) {
        node.put("name", service.service().name());
        node.put("waiting", service.waitingCalls().size());
        node.put("probes-sent", service.probeBudget().sentCount());
        node.put(
                "probes-per-second-allowed",
                service.probeBudget().probesPerSecond(service.service().measuring(), service.slots()));
        if (service.crossing() != null) {
            addCrossing(node.putObject("crossing"), service.crossing(), now);
        }
        ArrayNode servers = node.putArray("backend-servers");
        for (ServerState server : service.servers()) {
            ObjectNode entry = servers.addObject();
            entry.put("address", server.address());
            entry.put("leaving", ConstantNames.of(server.leavingCause()));
            entry.put("ejected", server.ejected(now));
            if (server.warmUp().cold(now)) {
                long remaining = server.warmUp().remainingNanoseconds(now);
                entry.put(
                        "cold-milliseconds",
                        remaining == ServerWarmUp.NEVER ? UNTIL_HEARD : remaining / NANOSECONDS_PER_MILLISECOND);
            }
            entry.put("in-flight", server.ownInFlight());
            entry.put("sent", server.requestsSent());
            entry.put("failed", server.requestsFailed());
            entry.put("usual-milliseconds", server.averageServiceNanoseconds() / NANOSECONDS_PER_MILLISECOND);
        }
    }

    /** Adds whether calls of a service leave their data centre, and what others take. */
    private static void addCrossing(ObjectNode node, ServiceCrossing crossing, long now) {
        node.put("leaving", crossing.needed(now));
        node.put("left", crossing.left());
        crossing.rooms(now)
                .forEach((dataCentre, room) -> node.putObject(dataCentre)
                        .put("slots", room.slots())
                        .put("in-flight", room.inFlight())
                        .put("spare-per-second", room.spareRequestsPerSecond())
                        .put("age-milliseconds", (now - room.observedAt()) / NANOSECONDS_PER_MILLISECOND));
    }

    /**
     * Adds what was exchanged with other data centres since the start.
     *
     * @param node receives the members
     * @param crossings counts the bytes by cause
     */
    public static void addCrossings(ObjectNode node, CrossingMetrics crossings) {
        node.put("connections", crossings.connections());
        crossings
                .bytes()
                .forEach((cause, bytes) ->
                        node.putObject(cause).put("bytes-sent", bytes.sent()).put("bytes-received", bytes.received()));
    }

    /**
     * Adds a recorded change.
     *
     * @param node receives the members
     * @param change the change
     */
    private static void addChange(ObjectNode node, AuditRecord change) {
        node.put("time", change.time().toString());
        node.put("host", change.host());
        node.put("actor", change.actor());
        node.put("subject", change.subject());
        node.put("name", change.name());
        node.put("from", change.from());
        node.put("to", change.to());
        node.put("cause", change.cause());
        node.put("revision", change.revision());
    }
}
