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
    public static final long ASK_NANOSECONDS = 300_000_000L;

    /** The time after which a question is asked again of those that have not replied, in nanoseconds. */
    private static final long REPEAT_NANOSECONDS = 50_000_000L;

    /** The largest difference of hosts' clocks that key ages may be wrong by, in nanoseconds. */
    private static final long CLOCK_SKEW_NANOSECONDS = 2_000_000_000L;

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
    private long lastRound;

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
    public void note(long now) {
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
    public Admission arrive(long call, String key, long ageNanoseconds, long now, DecisionSink sink) {
        KeyRecord known = table.get(key, now);
        if (known != null) {
            return known.state() == KeyState.ANSWERED ? Admission.ANSWERED_BEFORE : Admission.HELD_BEFORE;
        }
        if (ageNanoseconds >= settings.keys().lifetimeNanoseconds()) {
            return Admission.TOO_OLD;
        }
        if (!settings.exchangesDigests()) {
            return table.put(key, call, KeyState.HELD, now) ? Admission.RUN : Admission.TABLE_FULL;
        }
        if (!knows(ageNanoseconds, now) || !membership.listed()) {
            refusals++;
            return Admission.NOT_KNOWN;
        }
        if (!table.put(key, call, KeyState.ASKING, now)) {
            return Admission.TABLE_FULL;
        }
        Round round = new Round(call, ++lastRound, ageNanoseconds, now, membership.mayServe(now));
        if (round.waiting.isEmpty()) {
            table.put(key, call, KeyState.HELD, now);
            return Admission.RUN;
        }
        rounds.put(key, round);
        ask(key, round, now, sink);
        return Admission.ASK;
    }

    /**
     * Returns whether this host would know if a key had been used here.
     *
     * @param ageNanoseconds the age of the key, negative if it is not known
     * @param now the time in nanoseconds
     * @return {@code true} if this life of the gateway is older than the key can be
     */
    private boolean knows(long ageNanoseconds, long now) {
        long uptime = now - startedAt;
        boolean younger = ageNanoseconds >= 0 && ageNanoseconds + CLOCK_SKEW_NANOSECONDS < uptime;
        return younger || uptime >= settings.keys().lifetimeNanoseconds();
    }

    /**
     * Asks the hosts that have not replied.
     *
     * @param key the key
     * @param round the question
     * @param now the time in nanoseconds
     * @param sink receives the question
     */
    private void ask(String key, Round round, long now, DecisionSink sink) {
        round.askedAt = now;
        long age = round.ageNanoseconds < 0 ? -1 : round.ageNanoseconds + now - round.startedAt;
        KeyQuestion question = new KeyQuestion(settings.name(), settings.incarnation(), round.number, key, age);
        List<String> addresses =
                round.waiting.values().stream().map(ListedHost::address).toList();
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
    public long asked(KeyQuestion question, String address, long now, DecisionSink sink) {
        membership.serves(question.name(), address, now);
        KeyRecord known = table.get(question.key(), now);
        long givesWay = 0;
        KeyVerdict verdict = knows(question.ageNanoseconds(), now) ? KeyVerdict.FREE : KeyVerdict.NOT_KNOWN;
        if (known != null) {
            boolean yields = known.state() == KeyState.ASKING
                    && question.name().compareTo(settings.name()) < 0
                    && verdict == KeyVerdict.FREE;
            verdict = yields ? KeyVerdict.FREE : KeyVerdict.HELD;
            givesWay = yields ? known.call() : 0;
        }
        if (givesWay != 0) {
            rounds.remove(question.key());
            table.remove(question.key());
        }
        sink.decide(new Decision.ReplyKey(
                address,
                new KeyReply(settings.name(), question.incarnation(), question.round(), question.key(), verdict)));
        return givesWay;
    }

    /**
     * Takes the reply of another host.
     *
     * @param reply the reply
     * @param now the time in nanoseconds
     * @return what the question has come to, {@code null} if it is still open or not of this life
     */
    public Settled replied(KeyReply reply, long now) {
        Round round = rounds.get(reply.key());
        boolean own = reply.incarnation() == settings.incarnation() && round != null && round.number == reply.round();
        if (!own || !round.waiting.containsKey(reply.name())) {
            return null;
        }
        if (reply.verdict() != KeyVerdict.FREE) {
            return refuse(reply.key(), round, reply.verdict() == KeyVerdict.HELD);
        }
        round.waiting.remove(reply.name());
        if (!round.waiting.isEmpty()) {
            return null;
        }
        rounds.remove(reply.key());
        table.put(reply.key(), round.call, KeyState.HELD, now);
        return new Settled(round.call, Admission.RUN);
    }

    /**
     * Ends a question without the key.
     *
     * @param key the key
     * @param round the question
     * @param held whether another host holds the key
     * @return the call and why it does not run
     */
    private Settled refuse(String key, Round round, boolean held) {
        rounds.remove(key);
        table.remove(key);
        refusals += held ? 0 : 1;
        return new Settled(round.call, held ? Admission.HELD_BEFORE : Admission.NOT_KNOWN);
    }

    /**
     * Asks again where replies are missing, and ends questions that have waited long enough.
     *
     * @param now the time in nanoseconds
     * @param sink receives the questions
     * @return the calls whose questions ended
     */
    public List<Settled> timePassed(long now, DecisionSink sink) {
        if (rounds.isEmpty()) {
            return List.of();
        }
        Map<String, Round> late = new HashMap<>();
        rounds.forEach((key, round) -> {
            if (now - round.startedAt >= ASK_NANOSECONDS) {
                late.put(key, round);
            } else if (now - round.askedAt >= REPEAT_NANOSECONDS) {
                ask(key, round, now, sink);
            }
        });
        return late.entrySet().stream()
                .map(entry -> refuse(entry.getKey(), entry.getValue(), false))
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
    public void ended(long call, String key, KeyState state, long now) {
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
        ASK,

        /** A copy of the request was answered before. */
        ANSWERED_BEFORE,

        /** A copy of the request is under way or may have run. */
        HELD_BEFORE,

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
    public record Settled(long call, Admission admission) {}

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
        private final Map<String, ListedHost> waiting;

        /** The time at which the question was last asked, in nanoseconds. */
        private long askedAt;

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
            waiting = new HashMap<>();
            hosts.forEach(host -> waiting.put(host.name(), host));
        }
    }
}
