package org.chivecourse.coordination.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.DecisionSink;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.membership.Membership;
import org.chivecourse.state.key.KeyQuestion;
import org.chivecourse.state.key.KeyRecord;
import org.chivecourse.state.key.KeyReply;
import org.chivecourse.state.key.KeyState;
import org.chivecourse.state.key.KeyTable;
import org.chivecourse.state.key.KeyVerdict;
import org.chivecourse.state.peer.ListedHost;

/**
 * Lets the request of a key run on one host only.
 *
 * <p>A host that gets a key which it does not hold asks every other host that may serve callers, and runs the request
 * only if each of them replies that it does not hold the key. A host that is itself asking gives way to an asker whose
 * name is less, and holds its ground against the others; so of two hosts that ask at the same time at most one runs the
 * request. A host that started recently cannot speak for the gateway that ran there before, and says so. Where one host
 * does not reply, or does not know, nothing runs.
 */
public final class KeyOwnership {

    /** The time within which all replies have to arrive, in nanoseconds. */
    public static final long QUERY_TIMEOUT_NANOSECONDS = 300_000_000L;

    /** The time after which a question is asked again of those that have not replied, in nanoseconds. */
    private static final long QUERY_RETRY_INTERVAL_NANOSECONDS = 50_000_000L;

    /** The largest difference of hosts' clocks that key ages may be wrong by, in nanoseconds. */
    private static final long MAXIMUM_CLOCK_SKEW_NANOSECONDS = 2_000_000_000L;

    /** What the core knows of its host. */
    private final HostSettings settings;

    /** The other gateways. */
    private final Membership membership;

    /** The keys that this host remembers. */
    private final KeyTable table;

    /** The questions under way by key. */
    private final Map<String, Round> rounds = new HashMap<>();

    /** The time of the first event in nanoseconds. */
    private long startedAt;

    /** Whether there was an event. */
    private boolean started;

    /** The number of questions so far. */
    private long lastRoundNumber;

    /** The number of keyed requests that were refused because a host did not reply or did not know. */
    private long refusals;

    /**
     * Creates an ownership without keys.
     *
     * @param settings what the core knows of its host
     * @param membership the other gateways
     */
    public KeyOwnership(HostSettings settings, Membership membership) {
        this.settings = settings;
        this.membership = membership;
        table = new KeyTable(settings.keys().maximumKeys(), settings.keys().lifetimeNanoseconds());
    }

    /**
     * Notes that an event came, the first of which is the start of the host.
     *
     * @param now the time in nanoseconds
     */
    public void recordEvent(long now) {
        if (!started) {
            started = true;
            startedAt = now;
        }
    }

    /**
     * Decides what becomes of a call with a key.
     *
     * @param call the identifier of the call
     * @param key the key
     * @param ageNanoseconds the age of the key, negative if it is not known
     * @param now the time in nanoseconds
     * @param sink receives the questions to other hosts
     * @return what becomes of the call
     */
    public Admission admit(long call, String key, long ageNanoseconds, long now, DecisionSink sink) {
        KeyRecord known = table.get(key, now);
        if (known != null) {
            return known.state() == KeyState.ANSWERED ? Admission.DUPLICATE_ANSWERED : Admission.DUPLICATE_HELD;
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
     * Returns whether this host would know if a key had been used here.
     *
     * @param ageNanoseconds the age of the key, negative if it is not known
     * @param now the time in nanoseconds
     * @return {@code true} if this life of the gateway is older than the key can be
     */
    private boolean uptimeCovers(long ageNanoseconds, long now) {
        long uptime = now - startedAt;
        boolean keyIsYounger = ageNanoseconds >= 0 && ageNanoseconds + MAXIMUM_CLOCK_SKEW_NANOSECONDS < uptime;
        return keyIsYounger || uptime >= settings.keys().lifetimeNanoseconds();
    }

    /**
     * Asks the hosts that have not replied.
     *
     * @param key the key
     * @param round the question
     * @param now the time in nanoseconds
     * @param sink receives the question
     */
    private void sendQuery(String key, Round round, long now, DecisionSink sink) {
        round.lastSentAt = now;
        long age = round.ageNanoseconds < 0 ? -1 : round.ageNanoseconds + now - round.startedAt;
        KeyQuestion question = new KeyQuestion(settings.name(), settings.incarnation(), round.number, key, age);
        List<String> addresses =
                round.awaitingReply.values().stream().map(ListedHost::address).toList();
        sink.decide(new Decision.AskKey(addresses, question));
    }

    /**
     * Replies to the question of another host.
     *
     * @param question the question
     * @param address the address to reply to
     * @param now the time in nanoseconds
     * @param sink receives the reply
     * @return the call whose own question gives way, zero for none
     */
    public long answerQuery(KeyQuestion question, String address, long now, DecisionSink sink) {
        membership.recordServing(question.name(), address, now);
        KeyRecord known = table.get(question.key(), now);
        long yieldedCall = 0;
        KeyVerdict verdict = uptimeCovers(question.ageNanoseconds(), now) ? KeyVerdict.FREE : KeyVerdict.NOT_KNOWN;
        if (known != null) {
            boolean yields = known.state() == KeyState.ASKING
                    && question.name().compareTo(settings.name()) < 0
                    && verdict == KeyVerdict.FREE;
            verdict = yields ? KeyVerdict.FREE : KeyVerdict.HELD;
            yieldedCall = yields ? known.call() : 0;
        }
        if (yieldedCall != 0) {
            rounds.remove(question.key());
            table.remove(question.key());
        }
        sink.decide(new Decision.ReplyKey(
                address,
                new KeyReply(settings.name(), question.incarnation(), question.round(), question.key(), verdict)));
        return yieldedCall;
    }

    /**
     * Takes the reply of another host.
     *
     * @param reply the reply
     * @param now the time in nanoseconds
     * @return what the question has come to, {@code null} if it is still open or not of this life
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
     * Ends a question without the key.
     *
     * @param key the key
     * @param round the question
     * @param held whether another host holds the key
     * @return the call and why it does not run
     */
    private Resolution refuseCall(String key, Round round, boolean held) {
        rounds.remove(key);
        table.remove(key);
        refusals += held ? 0 : 1;
        return new Resolution(round.call, held ? Admission.DUPLICATE_HELD : Admission.NOT_KNOWN);
    }

    /**
     * Asks again where replies are missing, and ends questions that have waited long enough.
     *
     * @param now the time in nanoseconds
     * @param sink receives the questions
     * @return the calls whose questions ended
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
     * Notes the end of a call with a key.
     *
     * @param call the identifier of the call
     * @param key the key
     * @param state what is known of the request, {@code null} if it is proved not to have run
     * @param now the time in nanoseconds
     */
    public void recordCallEnd(long call, String key, KeyState state, long now) {
        KeyRecord known = table.get(key, now);
        if (known == null || known.call() != call) {
            return;
        }
        rounds.remove(key);
        if (state == null) {
            table.remove(key);
        } else {
            table.put(key, call, state, now);
        }
    }

    /**
     * Returns the number of keys that this host remembers.
     *
     * @return the number
     */
    public int size() {
        return table.size();
    }

    /**
     * Returns the number of keyed requests that were refused because a host did not reply or did not know.
     *
     * @return the number
     */
    public long refusals() {
        return refusals;
    }

    /** What becomes of a call with a key. */
    public enum Admission {
        /** The call runs here. */
        RUN,

        /** The other hosts are asked first. */
        QUERY,

        /** A copy of the request was answered before. */
        DUPLICATE_ANSWERED,

        /** A copy of the request is under way or may have run. */
        DUPLICATE_HELD,

        /** A host did not reply or cannot know whether a copy ran. */
        NOT_KNOWN,

        /** The key is older than any host remembers. */
        TOO_OLD,

        /** This host remembers as many keys as it may. */
        TABLE_FULL
    }

    /**
     * What a question has come to.
     *
     * @param call the identifier of the call
     * @param admission what becomes of it
     */
    public record Resolution(long call, Admission admission) {}

    /** A question under way. */
    private static final class Round {

        /** The identifier of the call. */
        private final long call;

        /** The number of the question. */
        private final long number;

        /** The age of the key when the question began, negative if it is not known. */
        private final long ageNanoseconds;

        /** The time at which the question began, in nanoseconds. */
        private final long startedAt;

        /** The hosts that have not replied, by name. */
        private final Map<String, ListedHost> awaitingReply;

        /** The time at which the question was last asked, in nanoseconds. */
        private long lastSentAt;

        /**
         * Creates a question.
         *
         * @param call the identifier of the call
         * @param number the number of the question
         * @param ageNanoseconds the age of the key, negative if it is not known
         * @param startedAt the time at which the question begins, in nanoseconds
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
