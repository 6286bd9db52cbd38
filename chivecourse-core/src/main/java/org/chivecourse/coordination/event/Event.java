package org.chivecourse.coordination.event;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.key.KeyQuery;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.peer.ListedHost;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.reservation.SlotRelease;
import org.chivecourse.state.reservation.SlotReply;
import org.chivecourse.state.reservation.SlotRequest;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.RequestLimit;

/**
 * An input of the decision core. Traces contain events under the simple names of their records, or the names given by
 * {@link JsonTypeName}.
 */
public sealed interface Event {

    /**
     * A configuration was read from the configuration service or from another gateway.
     *
     * @param configuration the configuration
     * @param source the address from which it was read
     */
    record ConfigurationRead(LoadedConfiguration configuration, String source) implements Event {}

    /**
     * A configuration was received but could not be parsed or is invalid.
     *
     * @param source the address from which it was read
     * @param reason what is wrong with it
     */
    record ConfigurationRejected(String source, String reason) implements Event {}

    /**
     * A request arrived from a caller.
     *
     * @param call the identifier of the call, unique on the host
     * @param arrival the properties of the request
     */
    record CallArrived(long call, Arrival arrival) implements Event {}

    /**
     * The connection for an attempt is ready and nothing has been written to it. The core replies with
     * {@code Decision.Proceed} or {@code Decision.Withdraw}.
     *
     * @param attempt the identifier of the attempt
     */
    record AttemptReady(long attempt) implements Event {}

    /**
     * An attempt failed before any byte was written to a connection, so the request cannot have run.
     *
     * @param attempt the identifier of the attempt
     * @param reason the cause of the failure
     */
    record AttemptUnsent(long attempt, String reason) implements Event {}

    /**
     * The status and header of an answer arrived.
     *
     * @param attempt the identifier of the attempt
     * @param answer the parts of the header that the core uses
     */
    record AnswerStarted(long attempt, AnswerHead answer) implements Event {}

    /**
     * An answer arrived completely.
     *
     * @param attempt the identifier of the attempt
     */
    record AnswerCompleted(long attempt) implements Event {}

    /**
     * An attempt failed after bytes were written to its connection and before its answer was complete, so the request
     * may have run.
     *
     * @param attempt the identifier of the attempt
     * @param reason the cause of the failure
     */
    record AttemptBroken(long attempt, String reason) implements Event {}

    /**
     * The caller closed its connection or cancelled the request.
     *
     * @param call the identifier of the call
     */
    @JsonTypeName("CallerLeft")
    record CallerDisconnected(long call) implements Event {}

    /**
     * A tick of the clock, which the driver passes in at least every {@code HostCore.MAXIMUM_TICK_INTERVAL_NANOSECONDS}
     * nanoseconds.
     */
    record TimePassed() implements Event {}

    /**
     * A health check of a backend server ended.
     *
     * @param address the identity of the backend server
     * @param answer the result of the health check
     */
    record HealthChecked(String address, HealthCheckResult answer) implements Event {}

    /**
     * The connection for a probe is ready. The core replies with {@code Decision.SendProbe}, or not at all if the probe
     * is not to be sent.
     *
     * @param address the identity of the backend server
     */
    record ProbeReady(String address) implements Event {}

    /**
     * A probe ended.
     *
     * @param address the identity of the backend server
     * @param sent whether the probe was sent
     * @param report the load that the backend server reported, {@code null} if it reported none
     * @param nanoseconds the time since the probe was sent, in nanoseconds, zero if it failed
     * @param finding what the probe found about the backend server's health and identity
     * @param limit the request limit that the backend server stated, {@code null} if it made no readable statement
     * @param restNanoseconds the time for which the backend server asked for rest, in nanoseconds, zero for none
     * @param warmUpNanoseconds the time for which the backend server said that it stays cold, zero if it is warm; no
     *     value if it made no readable statement
     */
    record ProbeEnded(
            String address,
            boolean sent,
            LoadReport report,
            long nanoseconds,
            ProbeFinding finding,
            @JsonInclude(JsonInclude.Include.NON_NULL) RequestLimit limit,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long restNanoseconds,
            @JsonInclude(JsonInclude.Include.NON_NULL) Long warmUpNanoseconds)
            implements Event {

        /**
         * Creates the end of a probe without a statement about a request limit, rest or warm-up.
         *
         * @param address the identity of the backend server
         * @param sent whether the probe was sent
         * @param report the load that the backend server reported, {@code null} if it reported none
         * @param nanoseconds the time since the probe was sent, in nanoseconds, zero if it failed
         * @param finding what the probe found about the backend server's health and identity
         */
        public ProbeEnded(String address, boolean sent, LoadReport report, long nanoseconds, ProbeFinding finding) {
            this(address, sent, report, nanoseconds, finding, null, 0, null);
        }
    }

    /**
     * The platform's host list was read.
     *
     * @param hosts the hosts
     */
    record HostsRead(List<ListedHost> hosts) implements Event {

        /** Creates an event with a copy of the hosts. */
        public HostsRead {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * A digest arrived from a gateway of the platform's host list.
     *
     * @param digest the digest
     */
    record DigestArrived(PeerDigest digest) implements Event {}

    /**
     * Another gateway sent a query about an idempotency key.
     *
     * @param question the query
     * @param address the address to reply to
     */
    record KeyAsked(KeyQuery question, String address) implements Event {}

    /**
     * Another gateway replied to a query about an idempotency key.
     *
     * @param reply the reply
     */
    record KeyReplied(KeyReply reply) implements Event {}

    /**
     * Another gateway requested a slot of a backend server.
     *
     * @param request the request
     * @param address the address to reply to
     */
    record SlotRequested(SlotRequest request, String address) implements Event {}

    /**
     * Another gateway replied to a request for a slot.
     *
     * @param reply the reply
     * @param address the address of the other gateway
     */
    record SlotReplied(SlotReply reply, String address) implements Event {}

    /**
     * Another gateway released a slot, or needs none any more.
     *
     * @param release the release
     */
    record SlotReleased(SlotRelease release) implements Event {}

    /**
     * All published items were read.
     *
     * @param call the number of the read
     * @param items the items
     * @param revision the revision at which the read began
     */
    record PublicationListed(long call, List<PublishedItem> items, long revision) implements Event {

        /** Creates an event with a copy of the items. */
        public PublicationListed {
            items = List.copyOf(items);
        }
    }

    /**
     * Changes of published items were read.
     *
     * @param call the number of the read
     * @param items the changed items and removals
     * @param after the revision after which the changes are complete
     * @param revision the revision up to which the changes are complete
     */
    record PublicationChanged(long call, List<PublishedItem> items, long after, long revision) implements Event {

        /** Creates an event with a copy of the items. */
        public PublicationChanged {
            items = List.copyOf(items);
        }
    }

    /**
     * A read of published items failed.
     *
     * @param call the number of the read
     * @param forgotten whether the publisher no longer has the requested changes, so that all items must be read
     * @param reason the cause of the failure
     */
    record PublicationFailed(long call, boolean forgotten, String reason) implements Event {}

    /**
     * Published items were fetched from another gateway.
     *
     * @param name the name of the other gateway's host
     * @param changes the items
     */
    record PublicationPulled(String name, FleetDigest.Changes changes) implements Event {}

    /**
     * A digest arrived from a gateway of a fleet whose gateways discover each other through seeds.
     *
     * @param digest the digest
     */
    @JsonTypeName("FleetHeard")
    record FleetDigestArrived(FleetDigest digest) implements Event {}

    /**
     * The settings were reloaded with other seeds.
     *
     * @param seeds the addresses of some gateways of the fleet, which may be out of date
     */
    record SeedsChanged(List<String> seeds) implements Event {

        /** Creates an event with a copy of the seeds. */
        public SeedsChanged {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The process was suspended for a while, so its state may be out of date.
     *
     * @param nanoseconds the time for which it was suspended, in nanoseconds
     */
    record Resumed(long nanoseconds) implements Event {}

    /**
     * A fetch of a configuration or of published items from another gateway failed.
     *
     * @param name the name of the other gateway's host
     * @param reason the cause of the failure
     */
    record PullFailed(String name, String reason) implements Event {}

    /**
     * The gateway was requested to stop.
     *
     * @param closeAfterNanoseconds the time after which connections are closed, in nanoseconds, zero if it is not known
     */
    @JsonTypeName("StopAsked")
    record StopRequested(
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long closeAfterNanoseconds) implements Event {}

    /**
     * The parts of an answer's header that the core uses.
     *
     * @param status the status code
     * @param refused whether the answer is the refusal signal that its service configures
     * @param leaving whether the backend server signals that it is leaving
     * @param report the load that the backend server reported, {@code null} if it reported none
     * @param otherServer whether the answer comes from another backend server than the one that the request was
     *     addressed to
     * @param limit the request limit that the backend server stated, {@code null} if it made no readable statement
     * @param restNanoseconds the time for which the backend server asked for rest, in nanoseconds, zero for none
     */
    record AnswerHead(
            int status,
            boolean refused,
            boolean leaving,
            LoadReport report,
            boolean otherServer,
            @JsonInclude(JsonInclude.Include.NON_NULL) RequestLimit limit,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long restNanoseconds) {

        /**
         * Creates the head of an answer by the backend server that the request was addressed to.
         *
         * @param status the status code
         * @param refused whether the answer is the refusal signal that its service configures
         * @param leaving whether the backend server signals that it is leaving
         * @param report the load that the backend server reported, {@code null} if it reported none
         */
        public AnswerHead(int status, boolean refused, boolean leaving, LoadReport report) {
            this(status, refused, leaving, report, false, null, 0);
        }
    }
}
