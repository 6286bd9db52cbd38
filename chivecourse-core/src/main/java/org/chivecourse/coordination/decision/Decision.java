package org.chivecourse.coordination.decision;

import java.util.List;
import org.chivecourse.configuration.format.PrintedConfiguration;
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
     * @param address the address of the backend server
     * @param deadline the time in nanoseconds at which the caller gets an answer in any case
     * @param number the number of this attempt among those of the call, counted from one
     */
    record Send(long call, long attempt, String address, long deadline, int number) implements Decision {}

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
     * @param address the address of the backend server
     */
    record Probe(String address) implements Decision {}

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
     * @param retryAfterSeconds when a copy of the request makes sense, zero if it never does
     */
    record Refusal(Outcome outcome, Reason reason, int retryAfterSeconds) {}

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

        /** Whether a request is refused because it crashes backend servers. */
        REQUEST_CONVICTED
    }
}
