package org.chivecourse.coordination.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.membership.Membership;
import org.chivecourse.state.key.KeyQuery;
import org.chivecourse.state.key.KeyRecord;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.key.KeyState;
import org.chivecourse.state.key.KeyTable;
import org.chivecourse.state.key.KeyVerdict;
import org.chivecourse.state.peer.ListedHost;

/**
 * Ensures that the request of an idempotency key runs on one host only.
 *
 * <p>A host that receives a key which it does not hold queries every other host that may serve callers, and runs the
 * request only if each of them replies that the key is free. Of two hosts that query the same key at the same time, the
 * one whose name sorts first keeps its query, and the other one yields; so at most one of them runs the request. A host
 * that started recently cannot know which keys an earlier incarnation of it held, and replies that it does not know. If
 * any host does not reply or does not know, the request does not run.
 */
public final class KeyOwnership {

    /** The time within which all replies to a query have to arrive, in nanoseconds. */
    public static final long QUERY_TIMEOUT_NANOSECONDS = 300_000_000L;

    /** The interval at which a query is resent to the hosts that have not replied, in nanoseconds. */
    private static final long QUERY_RETRY_INTERVAL_NANOSECONDS = 50_000_000L;

    /**
     * The maximum difference between the clocks of two hosts that is allowed for in the age of a key, in nanoseconds.
     */
    private static final long MAXIMUM_CLOCK_SKEW_NANOSECONDS = 2_000_000_000L;

    /** The settings of this host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Membership membership;

    /** The keys that this host remembers. */
    private final KeyTable table;

    /** The query rounds in progress, by key. */
    private final Map<String, Round> rounds = new HashMap<>();

    /** The time of the first event, in nanoseconds. */
    private long startedAt;

    /** Whether an event has occurred. */
    private boolean started;

    /** The number of the last query round, zero before the first one of this incarnation. */
    private long lastRoundNumber;

    /** The number of keyed requests that were refused because a host did not reply or did not know. */
    private long refusals;

    /**
     * Creates an instance that remembers no keys.
     *
     * @param settings the settings of this host
     * @param membership the other gateways
     */
    public KeyOwnership(HostSettings settings, Membership membership) {
        this.settings = settings;
        this.membership = membership;
        table = new KeyTable(settings.keys().maximumKeys(), settings.keys().lifetimeNanoseconds());
    }

    /**
     * Records that an event occurred. The first one is the start of the host.
     *
     * @param now the current time in nanoseconds
     */
    public void recordEvent(long now) {
        if (!started) {
            started = true;
            startedAt = now;
        }
    }

    /**
     * Decides whether a call with a key runs here, and starts a query round if other hosts have to be queried first.
     *
     * @param call the identifier of the call
     * @param key the key
     * @param ageNanoseconds the age of the key in nanoseconds, negative if it is not known
     * @param now the current time in nanoseconds
     * @param sink receives the query to other hosts
     * @return {@link Admission#QUERY} if a query round started, otherwise the final decision
     */
    public Admission admit(long call, String key, long ageNanoseconds, long now, DecisionSink sink) {
        KeyRecord existing = table.get(key, now);
        if (existing != null) {
            return existing.state() == KeyState.ANSWERED ? Admission.DUPLICATE_ANSWERED : Admission.DUPLICATE_HELD;
        }
        if (ageNanoseconds >= settings.keys().lifetimeNanoseconds()) {
            return Admission.TOO_OLD;
        }
        if (!settings.exchangesDigests()) {
            return table.put(key, call, KeyState.HELD, now) ? Admission.RUN : Admission.TABLE_FULL;
        }
        if (!uptimeCovers(ageNanoseconds, now) || !membership.hostListKnown()) {
            refusals++;
            return Admission.NOT_KNOWN;
        }
        if (!table.put(key, call, KeyState.ASKING, now)) {
            return Admission.TABLE_FULL;
        }
        Round round = new Round(call, ++lastRoundNumber, ageNanoseconds, now, membership.possiblyServingHosts(now));
        if (round.awaitingReply.isEmpty()) {
            table.put(key, call, KeyState.HELD, now);
            return Admission.RUN;
        }
        rounds.put(key, round);
        sendQuery(key, round, now, sink);
        return Admission.QUERY;
    }

    /**
     * Returns whether this host would remember a key of the given age if it had been used here.
     *
     * @param ageNanoseconds the age of the key in nanoseconds, negative if it is not known
     * @param now the current time in nanoseconds
     * @return {@code true} if this incarnation is older than the key, clock skew included, or than the lifetime of keys
     */
    private boolean uptimeCovers(long ageNanoseconds, long now) {
        long uptime = now - startedAt;
        boolean keyIsYounger = ageNanoseconds >= 0 && ageNanoseconds + MAXIMUM_CLOCK_SKEW_NANOSECONDS < uptime;
        return keyIsYounger || uptime >= settings.keys().lifetimeNanoseconds();
    }

    /**
     * Sends the query of a round to the hosts that have not replied, with the present age of the key.
     *
     * @param key the key
     * @param round the round
     * @param now the current time in nanoseconds
     * @param sink receives the query
     */
    private void sendQuery(String key, Round round, long now, DecisionSink sink) {
        round.lastSentAt = now;
        long age = round.ageNanoseconds < 0 ? -1 : round.ageNanoseconds + now - round.startedAt;
        KeyQuery query = new KeyQuery(settings.name(), settings.incarnation(), round.number, key, age);
        List<String> addresses =
                round.awaitingReply.values().stream().map(ListedHost::address).toList();
        sink.decide(new Decision.AskKey(addresses, query));
    }

    /**
     * Replies to the query of another host, and records that the other host serves callers. If this host queries the
     * same key itself, it yields to a host whose name sorts first and ends its own round, unless an earlier incarnation
     * of it may have held the key.
     *
     * @param query the query
     * @param address the address to reply to
     * @param now the current time in nanoseconds
     * @param sink receives the reply
     * @return the call whose own round ended because this host yielded, zero for none
     */
    public long answerQuery(KeyQuery query, String address, long now, DecisionSink sink) {
        membership.recordServing(query.name(), address, now);
        KeyRecord existing = table.get(query.key(), now);
        long yieldedCall = 0;
        KeyVerdict verdict = uptimeCovers(query.ageNanoseconds(), now) ? KeyVerdict.FREE : KeyVerdict.NOT_KNOWN;
        if (existing != null) {
            boolean yields = existing.state() == KeyState.ASKING
                    && query.name().compareTo(settings.name()) < 0
                    && verdict == KeyVerdict.FREE;
            verdict = yields ? KeyVerdict.FREE : KeyVerdict.HELD;
            yieldedCall = yields ? existing.call() : 0;
        }
        if (yieldedCall != 0) {
            rounds.remove(query.key());
            table.remove(query.key());
        }
        sink.decide(new Decision.ReplyKey(
                address, new KeyReply(settings.name(), query.incarnation(), query.round(), query.key(), verdict)));
        return yieldedCall;
    }

    /**
     * Applies the reply of another host. Replies to ended rounds or to an earlier incarnation, and duplicates of
     * replies, are ignored.
     *
     * @param reply the reply
     * @param now the current time in nanoseconds
     * @return the outcome of the round, {@code null} if it is still in progress or the reply is ignored
     */
    public Resolution applyReply(KeyReply reply, long now) {
        Round round = rounds.get(reply.key());
        boolean current =
                reply.incarnation() == settings.incarnation() && round != null && round.number == reply.round();
        if (!current || !round.awaitingReply.containsKey(reply.name())) {
            return null;
        }
        if (reply.verdict() != KeyVerdict.FREE) {
            return refuseCall(reply.key(), round, reply.verdict() == KeyVerdict.HELD);
        }
        round.awaitingReply.remove(reply.name());
        if (!round.awaitingReply.isEmpty()) {
            return null;
        }
        rounds.remove(reply.key());
        table.put(reply.key(), round.call, KeyState.HELD, now);
        return new Resolution(round.call, Admission.RUN);
    }

    /**
     * Ends a round without acquiring the key.
     *
     * @param key the key
     * @param round the round
     * @param held whether another host holds the key, as opposed to no reply or a host that does not know
     * @return the call and the reason why it does not run
     */
    private Resolution refuseCall(String key, Round round, boolean held) {
        rounds.remove(key);
        table.remove(key);
        refusals += held ? 0 : 1;
        return new Resolution(round.call, held ? Admission.DUPLICATE_HELD : Admission.NOT_KNOWN);
    }

    /**
     * Resends queries to the hosts that have not replied, and ends rounds that have timed out.
     *
     * @param now the current time in nanoseconds
     * @param sink receives the queries
     * @return the calls whose rounds timed out
     */
    public List<Resolution> retryAndExpireRounds(long now, DecisionSink sink) {
        if (rounds.isEmpty()) {
            return List.of();
        }
        Map<String, Round> timedOut = new HashMap<>();
        rounds.forEach((key, round) -> {
            if (now - round.startedAt >= QUERY_TIMEOUT_NANOSECONDS) {
                timedOut.put(key, round);
            } else if (now - round.lastSentAt >= QUERY_RETRY_INTERVAL_NANOSECONDS) {
                sendQuery(key, round, now, sink);
            }
        });
        return timedOut.entrySet().stream()
                .map(entry -> refuseCall(entry.getKey(), entry.getValue(), false))
                .toList();
    }

    /**
     * Records the end of a call with a key. The key is released if the request is known not to have run. A call that
     * does not hold the key changes nothing.
     *
     * @param call the identifier of the call
     * @param key the key
     * @param state what is known about the request, {@code null} if it is known not to have run
     * @param now the current time in nanoseconds
     */
    public void recordCallEnd(long call, String key, KeyState state, long now) {
        KeyRecord existing = table.get(key, now);
        if (existing == null || existing.call() != call) {
            return;
        }
        rounds.remove(key);
        if (state == null) {
            table.remove(key);
        } else {
            table.put(key, call, state, now);
        }
    }

    /** Returns the number of keys that this host remembers. */
    public int size() {
        return table.size();
    }

    /** Returns the number of keyed requests that were refused because a host did not reply or did not know. */
    public long refusals() {
        return refusals;
    }

    /** The decision on a call with a key. */
    public enum Admission {
        /** The call runs here. */
        RUN,

        /** The other hosts are queried first. */
        QUERY,

        /** A duplicate of the request was answered here before. */
        DUPLICATE_ANSWERED,

        /** A duplicate of the request is in progress, may have run, or was answered by another host. */
        DUPLICATE_HELD,

        /** A host did not reply or cannot know whether a duplicate ran. */
        NOT_KNOWN,

        /** The key is older than the time for which hosts remember keys. */
        TOO_OLD,

        /** This host remembers the maximum number of keys already. */
        TABLE_FULL
    }

    /**
     * The outcome of a query round.
     *
     * @param call the identifier of the call
     * @param admission whether the call runs, and if not, why
     */
    public record Resolution(long call, Admission admission) {}

    /** A query about a key to which some host has not replied yet. */
    private static final class Round {

        /** The identifier of the call. */
        private final long call;

        /** The number of the round, by which replies are matched to it. */
        private final long number;

        /** The age of the key at the start of the round in nanoseconds, negative if it is not known. */
        private final long ageNanoseconds;

        /** The time at which the round started, in nanoseconds. */
        private final long startedAt;

        /** The hosts that have not replied, by name. */
        private final Map<String, ListedHost> awaitingReply;

        /** The time at which the query was last sent, in nanoseconds. */
        private long lastSentAt;

        /**
         * Creates a round.
         *
         * @param call the identifier of the call
         * @param number the number of the round
         * @param ageNanoseconds the age of the key in nanoseconds, negative if it is not known
         * @param startedAt the time at which the round starts, in nanoseconds
         * @param hosts the hosts that have to reply
         */
        private Round(long call, long number, long ageNanoseconds, long startedAt, List<ListedHost> hosts) {
            this.call = call;
            this.number = number;
            this.ageNanoseconds = ageNanoseconds;
            this.startedAt = startedAt;
            awaitingReply = new HashMap<>();
            hosts.forEach(host -> awaitingReply.put(host.name(), host));
        }
    }
}
