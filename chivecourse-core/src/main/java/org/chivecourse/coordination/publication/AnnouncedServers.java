package org.chivecourse.coordination.publication;

import java.util.List;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.registry.ServerRegistry;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RegisteredServer;

/** Applies the announcements of backend servers, and their ends, to the registry, and audits each change. */
final class AnnouncedServers {

    /**
     * The number of announcements that have to end in the same change, without their backend servers having announced
     * that they are leaving, for the removals to be treated as a possible outage.
     */
    private static final int MINIMUM_SUSPICIOUS_REMOVALS = 2;

    /**
     * The time for which backend servers are kept after such removals, in nanoseconds. It is shorter than the time
     * within which a leaving backend server must receive no new requests.
     */
    private static final long SUSPICIOUS_REMOVAL_GRACE_NANOSECONDS = 1_300_000_000L;

    /** The backend servers that announce themselves. */
    private final ServerRegistry registry = new ServerRegistry();

    /** Detects outages of the publisher. */
    private final OutageDetector outageDetector = new OutageDetector();

    /** Creates an instance without backend servers. */
    AnnouncedServers() {}

    /**
     * Returns the time until which backend servers are kept if their announcements end in a change. After an outage
     * this is the end of the grace period. If several announcements of backend servers in service end together, it is a
     * shorter time, since an outage that was too short to be detected may have caused this.
     *
     * @param changed the changed items
     * @param now the current time in nanoseconds
     * @return the time in nanoseconds, the current time if backend servers are not kept
     */
    long keepUntil(List<PublishedItem> changed, long now) {
        int unexpectedRemovals = 0;
        for (PublishedItem item : changed) {
            unexpectedRemovals += item.removed() && registry.inService(item.key()) ? 1 : 0;
        }
        long keepUntil = outageDetector.keepUntil(now);
        return unexpectedRemovals >= MINIMUM_SUSPICIOUS_REMOVALS
                ? Math.max(keepUntil, now + SUSPICIOUS_REMOVAL_GRACE_NANOSECONDS)
                : keepUntil;
    }

    /**
     * Applies an announcement.
     *
     * @param item the item
     * @param server the backend server
     * @param restored whether the publisher was restored from a copy, which may have the announcement from before it
     *     ended
     * @param source the origin of the item, for the audit log
     * @param sink receives the resulting decisions
     * @return whether the backend servers changed
     */
    boolean announce(PublishedItem item, RegisteredServer server, boolean restored, String source, DecisionSink sink) {
        boolean changed =
                restored ? registry.announceRestored(item.key(), server) : registry.announce(item.key(), server);
        if (!changed) {
            return false;
        }
        String state = (server.leaving() ? "leaving" : "ready") + " " + server.service() + " " + server.address()
                + " incarnation " + server.incarnation();
        audit(server.identity(), state, source, item.revision(), sink);
        return true;
    }

    /**
     * Applies the end of an announcement.
     *
     * @param item the removal
     * @param keepUntil the time until which the backend server is kept, in nanoseconds
     * @param source the origin of the item, for the audit log
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     * @return whether the backend servers changed
     */
    boolean withdraw(PublishedItem item, long keepUntil, String source, long now, DecisionSink sink) {
        boolean changed = registry.withdraw(item.key(), keepUntil, now);
        boolean kept = keepUntil - now > 0;
        audit(item.key(), kept ? "kept after an outage" : "gone", source, item.revision(), sink);
        return changed;
    }

    /**
     * Removes the backend servers that were kept and have not announced themselves again in time.
     *
     * @param revision the revision of the published items, for the audit log
     * @param now the current time in nanoseconds
     * @param sink receives the resulting decisions
     * @return whether the backend servers changed
     */
    boolean removeExpired(long revision, long now, DecisionSink sink) {
        if (!registry.removeExpired(now)) {
            return false;
        }
        audit("", "gone", "did not return after an outage", revision, sink);
        return true;
    }

    /** Writes the audit record of a backend server. */
    private static void audit(String name, String to, String cause, long revision, DecisionSink sink) {
        sink.decide(new Decision.Audit(
                new Decision.Change(Decision.Subject.SERVER_REGISTERED, name, "", to, cause, revision)));
    }

    /** Returns the backend servers that announce themselves. */
    ServerRegistry registry() {
        return registry;
    }

    /** Returns the detector of outages of the publisher. */
    OutageDetector outageDetector() {
        return outageDetector;
    }
}
