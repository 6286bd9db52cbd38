package org.chivecourse.coordination.call;

import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.state.fleet.ObservationKind;
import org.chivecourse.state.server.ServerState;

/** This host's own links to the backend servers of each service. */
public final class ServiceLinks {

    /** The services of the configuration in force. */
    private final ServiceRegistry services;

    /** Creates links that count as working. */
    ServiceLinks(ServiceRegistry services) {
        this.services = services;
    }

    /** Determines for each service whether the links are lost, and tells others which servers are out of reach. */
    public void update(long now, DecisionSink sink) {
        if (!services.settings().fleet().enabled()) {
            return;
        }
        for (ServiceState service : services.all()) {
            if (service.links().update(service.servers(), now)) {
                audit(service, sink);
            }
            reportUnreachable(service, now);
        }
    }

    /** Queues for other hosts which backend servers of a service are out of reach for a reason of their own. */
    private void reportUnreachable(ServiceState service, long now) {
        for (ServerState server : service.servers()) {
            if (server.contact().unreportedFailure()
                    && service.links().workedSince(server.contact().failedAt())) {
                server.contact().recordReport();
                services.queueObservation(server, ObservationKind.UNREACHABLE, null, now);
            }
        }
    }

    /** Audits that the links to a service are lost, or that they are back. */
    private void audit(ServiceState service, DecisionSink sink) {
        boolean lost = service.links().lost();
        sink.decide(new Decision.Audit(new Decision.Change(
                Decision.Subject.LINKS,
                service.service().name(),
                lost ? "reached" : "lost",
                lost ? "lost" : "reached",
                lost ? "its backend servers answer other gateways only" : "one of its backend servers answered",
                services.configuration().revision())));
    }

    /** Returns whether the links to a service have worked since a backend server of it fell silent. */
    boolean workedSinceSilence(ServerState server) {
        ServiceState service = services.serviceOf(server.identity());
        return !services.settings().fleet().enabled()
                || service == null
                || service.links().workedSince(server.condition().silentSince());
    }

    /** Returns whether the links to every service are lost. */
    public boolean allLost() {
        return !services.all().isEmpty()
                && services.all().stream().allMatch(service -> service.links().lost());
    }

    /** Returns whether the links to some service are lost. */
    public boolean anyLost() {
        return services.all().stream().anyMatch(service -> service.links().lost());
    }
}
