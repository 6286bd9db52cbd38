package org.chivecourse.coordination.decision;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.key.KeyQuestion;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.peer.PeerDigest;

/** Something that the transport has to do. */
public sealed interface Decision {

    /**
     * Connect to a backend server and report when the connection is ready.
     *
     * @param call the identifier of the call
     * @param attempt the identifier of the attempt, unique on the host
     * @param address the identity of the backend server
     * @param deadline the time in nanoseconds at which the caller gets an answer in any case
     * @param number the number of this attempt among those of the call, counted from one
     * @param basis what the choice of the backend server rests on
     */
    record Send(long call, long attempt, String address, long deadline, int number, Basis basis) implements Decision {}

    /**
     * Hand the request to the connection that is ready.
     *
     * @param attempt the identifier of the attempt
     */
    record Proceed(long attempt) implements Decision {}

    /**
     * Hand nothing to the connection that is ready.
     *
     * @param attempt the identifier of the attempt
     */
    record Withdraw(long attempt) implements Decision {}

    /**
     * Pass the answer of an attempt to the caller.
     *
     * @param call the identifier of the call
     * @param attempt the identifier of the attempt
     */
    record Deliver(long call, long attempt) implements Decision {}

    /**
     * Abandon an attempt and never use its connection again.
     *
     * @param attempt the identifier of the attempt
     */
    record Drop(long attempt) implements Decision {}

    /**
     * Answer the caller in the gateway's own name.
     *
     * @param call the identifier of the call
     * @param refusal what to tell the caller
     */
    record Refuse(long call, Refusal refusal) implements Decision {}

    /**
     * Look at a backend server's health endpoint and report what it says.
     *
     * @param address the address of the backend server
     */
    record CheckHealth(String address) implements Decision {}

    /**
     * Connect to a backend server for a probe of its load and report when the connection is ready.
     *
     * @param address the identity of the backend server
     * @param path the path of the endpoint that states the load
     */
    record Probe(String address, String path) implements Decision {}

    /**
     * Send the probe whose connection is ready.
     *
     * @param address the address of the backend server
     */
    record SendProbe(String address) implements Decision {}

    /**
     * Send a digest to another gateway.
     *
     * @param address the address at which the other gateway listens
     * @param digest the digest
     */
    record SendDigest(String address, PeerDigest digest) implements Decision {}

    /**
     * Ask other gateways for a key.
     *
     * @param addresses the addresses at which the other gateways listen
     * @param question the question
     */
    record AskKey(List<String> addresses, KeyQuestion question) implements Decision {

        /**
         * Creates a decision whose addresses are copied.
         */
        public AskKey {
            addresses = List.copyOf(addresses);
        }
    }

    /**
     * Reply to another gateway's question for a key.
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
     * Watch the configuration service without pause, or look at it now and then.
     *
     * @param withoutPause whether to watch without pause
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
     * @param after the revision after which changes are wanted
     * @param waitMilliseconds the longest time to wait for one
     */
    record WatchPublication(long call, long after, int waitMilliseconds) implements Decision {}

    /**
     * Give up a read of published items.
     *
     * @param call the number of the read
     */
    record CancelPublication(long call) implements Decision {}

    /**
     * Send a digest to other gateways of a fleet that finds itself by seeds.
     *
     * @param addresses the addresses at which the other gateways listen
     * @param digest the digest
     */
    @JsonTypeName("TellFleet")
    record SendFleetDigest(List<String> addresses, FleetDigest digest) implements Decision {

        /**
         * Creates a decision whose addresses are copied.
         */
        public SendFleetDigest {
            addresses = List.copyOf(addresses);
        }
    }

    /**
     * Fetch published items from another gateway.
     *
     * @param name the name of the other gateway's host
     * @param address the address at which the other gateway listens
     * @param after the revision after which they are wanted, zero for all
     */
    record PullPublication(String name, String address, long after) implements Decision {}

    /**
     * Use these backend servers, and no others, from now on.
     *
     * @param servers the backend servers
     */
    record UseServers(List<BackendServer> servers) implements Decision {

        /**
         * Creates a decision whose backend servers are copied.
         */
        public UseServers {
            servers = List.copyOf(servers);
        }
    }

    /**
     * Use a configuration from now on.
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
     * What a gateway tells a caller in its own name.
     *
     * @param outcome whether the request may have run
     * @param reason why the gateway gave up
     * @param retryAfterMilliseconds when a copy of the request makes sense, zero if it never does
     * @param explanation what the decision rests on, for logs
     */
    record Refusal(Outcome outcome, Reason reason, long retryAfterMilliseconds, String explanation) {

        /**
         * Creates a refusal that needs no explanation.
         *
         * @param outcome whether the request may have run
         * @param reason why the gateway gave up
         * @param retryAfterMilliseconds when a copy of the request makes sense, zero if it never does
         */
        public Refusal(Outcome outcome, Reason reason, long retryAfterMilliseconds) {
            this(outcome, reason, retryAfterMilliseconds, "");
        }
    }

    /**
     * What the choice of a backend server rests on, for logs.
     *
     * @param purpose why the request is sent: {@code first}, {@code again} or {@code hedge}
     * @param candidates the number of backend servers that were weighed
     * @param inFlight the estimated number of requests at the chosen one, this one included
     * @param slownessPercent the time that work takes there, a hundred as usual
     * @param reportAgeMilliseconds the age of its last load report, negative if there is none
     * @param incarnation the number of the life of the chosen one, zero if it is configured
     */
    record Basis(
            String purpose,
            int candidates,
            double inFlight,
            int slownessPercent,
            long reportAgeMilliseconds,
            long incarnation) {}

    /**
     * A change that operators see.
     *
     * @param subject what changed
     * @param name the name of the thing that changed
     * @param from the value before
     * @param to the value now
     * @param cause why it changed
     * @param revision the revision of the configuration in force
     */
    record Change(Subject subject, String name, String from, String to, String cause, long revision) {}

    /** The kinds of things of which operators see changes. */
    enum Subject {
        /** The configuration in force. */
        CONFIGURATION,

        /** Whether a backend server is leaving. */
        SERVER_LEAVING,

        /** Whether a backend server is ejected. */
        SERVER_EJECTED,

        /** A backend server that announced itself, or whose announcement ended. */
        SERVER_REGISTERED,

        /** Whether the publisher of the platform answers. */
        PUBLISHER,

        /** Another gateway. */
        GATEWAY,

        /** A published item that cannot be read. */
        PUBLISHED_ITEM,

        /** Whether a request is refused because it crashes backend servers. */
        REQUEST_CONVICTED
    }
}
