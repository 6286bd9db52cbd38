package org.chivecourse.coordination.decision;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.key.KeyQuery;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.peer.PeerDigest;
import org.chivecourse.state.reservation.SlotRelease;
import org.chivecourse.state.reservation.SlotReply;
import org.chivecourse.state.reservation.SlotRequest;
import org.chivecourse.state.reservation.SlotWay;

/**
 * An action for the transport to execute. Traces contain decisions under the simple names of their records, or the
 * names given by {@link JsonTypeName}.
 */
public sealed interface Decision {

    /**
     * Connect to a backend server for an attempt and report when the connection is ready.
     *
     * @param call the identifier of the call
     * @param attempt the identifier of the attempt, unique on the host
     * @param address the identity of the backend server, or of the gateway that the call is forwarded to
     * @param deadline the time in nanoseconds by which the caller must have received an answer
     * @param number the number of this attempt within its call, starting at one
     * @param basis the inputs of the choice of the backend server
     * @param forwardedAttempts the number of attempts that are left to the gateway that the call is forwarded to, zero
     *     if it is sent to a backend server
     */
    record Send(
            long call,
            long attempt,
            String address,
            long deadline,
            int number,
            Basis basis,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) int forwardedAttempts)
            implements Decision {

        /** Returns whether the call is forwarded to another gateway. */
        public boolean forwarded() {
            return forwardedAttempts > 0;
        }
    }

    /**
     * Write the request to the connection that is ready.
     *
     * @param attempt the identifier of the attempt
     */
    record Proceed(long attempt) implements Decision {}

    /**
     * Abandon the connection that is ready without writing to it.
     *
     * @param attempt the identifier of the attempt
     */
    record Withdraw(long attempt) implements Decision {}

    /**
     * Forward the answer of an attempt to the caller.
     *
     * @param call the identifier of the call
     * @param attempt the identifier of the attempt
     */
    record Deliver(long call, long attempt) implements Decision {}

    /**
     * Cancel an attempt and close its connection rather than reuse it.
     *
     * @param attempt the identifier of the attempt
     */
    record Drop(long attempt) implements Decision {}

    /**
     * Answer the caller with an error that the gateway generates.
     *
     * @param call the identifier of the call
     * @param refusal the content of the answer
     */
    record Refuse(long call, Refusal refusal) implements Decision {}

    /**
     * Request a backend server's health endpoint and report the result.
     *
     * @param address the identity of the backend server
     */
    record CheckHealth(String address) implements Decision {}

    /**
     * Connect to a backend server for a probe of its load and report when the connection is ready.
     *
     * @param address the identity of the backend server
     * @param path the path of the endpoint that reports the load
     */
    record Probe(String address, String path) implements Decision {}

    /**
     * Send the probe whose connection is ready.
     *
     * @param address the identity of the backend server
     */
    record SendProbe(String address) implements Decision {}

    /**
     * Send a digest to a gateway of the platform's host list.
     *
     * @param address the address at which the other gateway listens
     * @param digest the digest
     */
    record SendDigest(String address, PeerDigest digest) implements Decision {}

    /**
     * Query other gateways about an idempotency key.
     *
     * @param addresses the addresses at which the other gateways listen
     * @param question the query
     */
    record AskKey(List<String> addresses, KeyQuery question) implements Decision {

        /** Creates a decision with a copy of the addresses. */
        public AskKey {
            addresses = List.copyOf(addresses);
        }
    }

    /**
     * Reply to another gateway's query about an idempotency key.
     *
     * @param address the address at which the other gateway listens
     * @param reply the reply
     */
    record ReplyKey(String address, KeyReply reply) implements Decision {}

    /**
     * Fetch a configuration from another gateway.
     *
     * @param name the name of the other gateway's host
     * @param address the address at which the other gateway listens
     * @param digest the digest of the configuration
     */
    record PullConfiguration(String name, String address, String digest) implements Decision {}

    /**
     * Watch the configuration service continuously, or poll it at intervals.
     *
     * @param withoutPause whether to watch continuously
     */
    record Watch(boolean withoutPause) implements Decision {}

    /**
     * Read all published items.
     *
     * @param call the number of the read
     * @param staleAllowed whether the answer may be out of date by some seconds
     */
    record ListPublication(long call, boolean staleAllowed) implements Decision {}

    /**
     * Wait for changes of published items.
     *
     * @param call the number of the read
     * @param after the revision after which changes are requested
     * @param waitMilliseconds the maximum time to wait for a change, in milliseconds
     */
    record WatchPublication(long call, long after, int waitMilliseconds) implements Decision {}

    /**
     * Cancel a read of published items.
     *
     * @param call the number of the read
     */
    record CancelPublication(long call) implements Decision {}

    /**
     * Send a digest to other gateways of a fleet whose gateways discover each other through seeds.
     *
     * @param addresses the addresses at which the other gateways listen
     * @param digest the digest
     */
    @JsonTypeName("TellFleet")
    record SendFleetDigest(List<String> addresses, FleetDigest digest) implements Decision {

        /** Creates a decision with a copy of the addresses. */
        public SendFleetDigest {
            addresses = List.copyOf(addresses);
        }
    }

    /**
     * Request a slot of a backend server from the gateway that allocates it.
     *
     * @param address the address at which the other gateway listens
     * @param request the request
     */
    record RequestSlot(String address, SlotRequest request) implements Decision {}

    /**
     * Reply to another gateway's request for a slot.
     *
     * @param address the address at which the other gateway listens
     * @param reply the reply
     */
    record ReplySlot(String address, SlotReply reply) implements Decision {}

    /**
     * Release a slot, or the request for one, at the gateway that allocates it.
     *
     * @param address the address at which the other gateway listens
     * @param release the release
     */
    record ReleaseSlot(String address, SlotRelease release) implements Decision {}

    /**
     * Fetch published items from another gateway.
     *
     * @param name the name of the other gateway's host
     * @param address the address at which the other gateway listens
     * @param after the revision after which changes are requested, zero for all items
     */
    record PullPublication(String name, String address, long after) implements Decision {}

    /**
     * Replace the set of backend servers in use.
     *
     * @param servers all backend servers to use from now on
     */
    record UseServers(List<BackendServer> servers) implements Decision {

        /** Creates a decision with a copy of the backend servers. */
        public UseServers {
            servers = List.copyOf(servers);
        }
    }

    /**
     * Apply a configuration.
     *
     * @param configuration the configuration
     */
    record Apply(PrintedConfiguration configuration) implements Decision {}

    /**
     * Record a change for operators.
     *
     * @param change the change
     */
    record Audit(Change change) implements Decision {}

    /**
     * The content of an answer that the gateway generates instead of forwarding one.
     *
     * @param outcome whether the request may have run
     * @param reason why the gateway does not forward an answer of a backend server
     * @param retryAfterMilliseconds the time after which the caller may retry the request, in milliseconds, zero if it
     *     must not
     * @param explanation the inputs of the decision, for logs
     */
    record Refusal(Outcome outcome, Reason reason, long retryAfterMilliseconds, String explanation) {

        /**
         * Creates a refusal without an explanation.
         *
         * @param outcome whether the request may have run
         * @param reason why the gateway does not forward an answer of a backend server
         * @param retryAfterMilliseconds the time after which the caller may retry the request, in milliseconds, zero if
         *     it must not
         */
        public Refusal(Outcome outcome, Reason reason, long retryAfterMilliseconds) {
            this(outcome, reason, retryAfterMilliseconds, "");
        }
    }

    /**
     * The inputs of the choice of a backend server, for logs.
     *
     * @param purpose the kind of attempt: {@code first}, {@code again}, {@code hedge}, {@code alone} or {@code forward}
     * @param candidates the number of backend servers that were compared
     * @param inFlight the estimated number of requests in flight at the chosen one, including this one
     * @param slownessPercent the time that work takes at the chosen one, in percent of the typical time
     * @param reportAgeMilliseconds the age of its last load report, in milliseconds, negative if there is none
     * @param incarnation the incarnation of the chosen one, zero if it comes from the configuration
     * @param slotWay how the call came to its backend server, {@code null} if no slot was requested
     */
    record Basis(
            String purpose,
            int candidates,
            double inFlight,
            int slownessPercent,
            long reportAgeMilliseconds,
            long incarnation,
            @JsonInclude(JsonInclude.Include.NON_NULL) SlotWay slotWay) {

        /** Creates inputs. Traces of earlier builds do not tell the way to the slot. */
        public Basis {
            slotWay = slotWay == SlotWay.NONE ? null : slotWay;
        }
    }

    /**
     * A change that is audited for operators.
     *
     * @param subject the kind of thing that changed
     * @param name the name of the thing that changed
     * @param from the previous value
     * @param to the new value
     * @param cause the cause of the change
     * @param revision the revision of the configuration in force
     */
    record Change(Subject subject, String name, String from, String to, String cause, long revision) {}

    /** The kinds of things whose changes are audited. */
    enum Subject {
        /** The configuration in force. */
        CONFIGURATION,

        /** Whether a backend server is leaving. */
        SERVER_LEAVING,

        /** Whether a backend server is ejected. */
        SERVER_EJECTED,

        /** The request limit that a backend server states. */
        SERVER_LIMITED,

        /** The rest that a backend server asked this host for. */
        SERVER_RESTING,

        /** Whether a data centre is evacuated. */
        DATA_CENTRE_EVACUATED,

        /** A backend server that announced itself, or whose announcement was removed. */
        SERVER_REGISTERED,

        /** Whether the platform's publisher is reachable. */
        PUBLISHER,

        /** Whether the gateway's own links to backend servers are lost. */
        LINKS,

        /** Another gateway. */
        GATEWAY,

        /** Whether this gateway has all published items that others are known to have, and how it received them. */
        PUBLICATION,

        /** A published item that cannot be decoded. */
        PUBLISHED_ITEM,

        /** A failure of a backend server that a request coincided with. */
        REQUEST_SUSPECTED,

        /** Whether a request is blocked because it crashes backend servers. */
        REQUEST_CONVICTED,

        /** Whether a backend server is cold. */
        SERVER_COLD,

        /** Whether calls of a service have a reason to leave their data centre. */
        CROSSING
    }
}
