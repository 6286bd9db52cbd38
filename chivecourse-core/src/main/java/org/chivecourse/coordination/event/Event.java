package org.chivecourse.coordination.event;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.chivecourse.configuration.format.ReadConfiguration;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.key.KeyQuestion;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.peer.ListedHost;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.LoadReport;

/** Something that happened to a host. */
public sealed interface Event {

    /**
     * A configuration was read from the configuration service or from another gateway.
     *
     * @param configuration the configuration
     * @param source the address it came from
     */
    record ConfigurationRead(ReadConfiguration configuration, String source) implements Event {}

    /**
     * A configuration could not be read.
     *
     * @param source the address it came from
     * @param reason what is wrong
     */
    record ConfigurationRejected(String source, String reason) implements Event {}

    /**
     * A request arrived.
     *
     * @param call the identifier of the call, unique on the host
     * @param arrival what is known of the request
     */
    record CallArrived(long call, Arrival arrival) implements Event {}

    /**
     * A connection is ready and no byte was handed to it; answered by {@code Proceed} or {@code Withdraw}.
     *
     * @param attempt the identifier of the attempt
     */
    record AttemptReady(long attempt) implements Event {}

    /**
     * An attempt ended before any byte was handed to a connection.
     *
     * @param attempt the identifier of the attempt
     * @param reason what happened
     */
    record AttemptUnsent(long attempt, String reason) implements Event {}

    /**
     * The header of an answer arrived.
     *
     * @param attempt the identifier of the attempt
     * @param answer what the header says
     */
    record AnswerStarted(long attempt, AnswerHead answer) implements Event {}

    /**
     * An answer arrived whole.
     *
     * @param attempt the identifier of the attempt
     */
    record AnswerCompleted(long attempt) implements Event {}

    /**
     * An attempt ended after bytes were handed to a connection and before its answer was whole.
     *
     * @param attempt the identifier of the attempt
     * @param reason what happened
     */
    record AttemptBroken(long attempt, String reason) implements Event {}

    /**
     * The caller closed its connection or gave up.
     *
     * @param call the identifier of the call
     */
    @JsonTypeName("CallerLeft")
    record CallerDisconnected(long call) implements Event {}

    /**
     * Time passed; told at least every {@code HostCore.TICK_NANOSECONDS}.
     */
    record TimePassed() implements Event {}

    /**
     * A look at a backend server's health endpoint ended.
     *
     * @param address the address of the backend server
     * @param answer what the look found
     */
    record HealthChecked(String address, HealthCheckResult answer) implements Event {}

    /**
     * The connection for a probe is ready; answered by {@code SendProbe} or not at all.
     *
     * @param address the address of the backend server
     */
    record ProbeReady(String address) implements Event {}

    /**
     * A probe ended.
     *
     * @param address the address of the backend server
     * @param sent whether the probe was sent
     * @param report the load that the backend server states, {@code null} if it states none
     * @param nanoseconds the time since the probe was sent, zero if it failed
     * @param finding what else the probe found
     */
    record ProbeEnded(String address, boolean sent, LoadReport report, long nanoseconds, ProbeFinding finding)
            implements Event {}

    /**
     * The platform's host list was read.
     *
     * @param hosts the hosts
     */
    record HostsRead(List<ListedHost> hosts) implements Event {

        /**
         * Creates an event whose hosts are copied.
         */
        public HostsRead {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * A digest of another gateway arrived.
     *
     * @param digest the digest
     */
    record DigestArrived(PeerDigest digest) implements Event {}

    /**
     * Another gateway asks for a key.
     *
     * @param question the question
     * @param address the address to reply to
     */
    record KeyAsked(KeyQuestion question, String address) implements Event {}

    /**
     * Another gateway replied to a question for a key.
     *
     * @param reply the reply
     */
    record KeyReplied(KeyReply reply) implements Event {}

    /**
     * All published items were read.
     *
     * @param call the number of the read
     * @param items the items
     * @param revision the revision at which the read began
     */
    record PublicationListed(long call, List<PublishedItem> items, long revision) implements Event {

        /**
         * Creates an event whose items are copied.
         */
        public PublicationListed {
            items = List.copyOf(items);
        }
    }

    /**
     * Changes of published items were read.
     *
     * @param call the number of the read
     * @param items the changed items and removals
     * @param after the revision after which they follow
     * @param revision the revision up to which they are complete
     */
    record PublicationChanged(long call, List<PublishedItem> items, long after, long revision) implements Event {

        /**
         * Creates an event whose items are copied.
         */
        public PublicationChanged {
            items = List.copyOf(items);
        }
    }

    /**
     * Published items could not be read.
     *
     * @param call the number of the read
     * @param forgotten whether the publisher has forgotten the changes that were asked for
     * @param reason what happened
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
     * A digest of another gateway of a fleet that finds itself arrived.
     *
     * @param digest the digest
     */
    @JsonTypeName("FleetHeard")
    record FleetDigestArrived(FleetDigest digest) implements Event {}

    /**
     * The settings name other gateways to find the fleet by.
     *
     * @param seeds the addresses of some gateways, which may be out of date
     */
    record SeedsChanged(List<String> seeds) implements Event {

        /**
         * Creates an event whose seeds are copied.
         */
        public SeedsChanged {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The process did not run for a while, so that what it knows may be out of date.
     *
     * @param nanoseconds the time for which it did not run
     */
    record Resumed(long nanoseconds) implements Event {}

    /**
     * A configuration could not be fetched from another gateway.
     *
     * @param name the name of the other gateway's host
     * @param reason what happened
     */
    record PullFailed(String name, String reason) implements Event {}

    /**
     * The gateway was asked to stop.
     */
    @JsonTypeName("StopAsked")
    record StopRequested() implements Event {}

    /**
     * What the header of an answer says.
     *
     * @param status the status code
     * @param refused whether the answer is the refusal signal of its service
     * @param leaving whether the backend server says that it is leaving
     * @param report the load that the backend server states, {@code null} if it states none
     * @param otherServer whether another backend server than the one that was meant answers at the address
     */
    record AnswerHead(int status, boolean refused, boolean leaving, LoadReport report, boolean otherServer) {

        /**
         * Creates the head of an answer by the backend server that was meant.
         *
         * @param status the status code
         * @param refused whether the answer is the refusal signal of its service
         * @param leaving whether the backend server says that it is leaving
         * @param report the load that the backend server states, {@code null} if it states none
         */
        public AnswerHead(int status, boolean refused, boolean leaving, LoadReport report) {
            this(status, refused, leaving, report, false);
        }
    }
}
