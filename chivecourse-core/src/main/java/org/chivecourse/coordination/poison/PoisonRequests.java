package org.chivecourse.coordination.poison;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.chivecourse.state.fleet.AnsweredRequest;
import org.chivecourse.state.fleet.Crash;

/**
 * Records which requests were running when backend servers ended, and blocks those that end them.
 *
 * <p>A request is suspected from the first such coincidence. It is blocked once {@link #SERVERS_TO_BLOCK} different
 * backend servers have ended under it. An answer proves that the request does not end servers and clears the earlier
 * coincidences. While several other backend servers end that no request explains, coincidences within a second count as
 * one, so that the loss of a rack blocks nothing.
 *
 * <p>The record is a union of what all hosts found: the order in which crashes, answers and blocks arrive does not
 * matter.
 */
public final class PoisonRequests {

    /** The number of different backend servers whose end blocks a request. */
    public static final int SERVERS_TO_BLOCK = 3;

    /** The time for which a request is blocked. */
    public static final long BLOCK_NANOSECONDS = 600_000_000_000L;

    /** The number of servers that have to end under the only copy of a request while many other servers end. */
    private static final int FAILED_TRIALS_TO_BLOCK = 2;

    /** The maximum number of requests that are remembered. Bounds the memory used. */
    private static final int MAXIMUM_REQUESTS = 10_000;

    /** The number of ended servers from which a request is not forgotten while there are others to forget. */
    private static final int SERVERS_TO_RETAIN = 2;

    /** The time after which a possible crash that is not confirmed is withdrawn. */
    private static final long MAXIMUM_DOUBT_NANOSECONDS = 10_000_000_000L;

    /** The time for which a new crash or answer is repeated to other hosts, so that lost messages do not matter. */
    private static final long REPETITION_NANOSECONDS = 3_000_000_000L;

    /** The suspected and blocked requests by fingerprint, oldest first. */
    private final Map<Long, Suspicion> suspicions = new LinkedHashMap<>();

    /** The good answers that this host got a short time ago, which clear ends that become known later. */
    private final RecentAnswers recentAnswers = new RecentAnswers();

    /** The ends of backend servers that coincided with requests. */
    private final ServerEnds serverEnds = new ServerEnds();

    /** The fingerprints of the requests that have possible crashes. */
    private final Set<Long> doubtful = new LinkedHashSet<>();

    /** The possible crashes of this host that others have to be told of at once. */
    private final List<Crash> urgentCrashes = new ArrayList<>();

    /** The time until which a request may be refused, in nanoseconds. */
    private long refusalsPossibleUntil = Long.MIN_VALUE / 2;

    /** Selects the crashes to send to other hosts. */
    private final RotatingSelection sharedCrashes = new RotatingSelection();

    /** Selects the answers to send to other hosts. */
    private final RotatingSelection sharedAnswers = new RotatingSelection();

    /** Selects the blocks to send to other hosts. */
    private final RotatingSelection sharedBlocks = new RotatingSelection();

    /**
     * Records that this host's connection for a request broke before its answer, so that the backend server may have
     * ended. {@link #recordCrash} or {@link #withdraw} has to follow.
     *
     * @param server the process of the backend server
     */
    public void suspect(long fingerprint, String server, long now) {
        Crash crash = new Crash(fingerprint, server, now, true);
        if (recordCrash(crash, now) == CrashFinding.POSSIBLE) {
            suspicions.get(fingerprint).unannounced.add(crash);
            announceRepeated(suspicions.get(fingerprint));
        }
    }

    /** Withdraws {@link #suspect} and ends the request's trial there, since the server goes on running. */
    public void withdraw(long fingerprint, String server) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null) {
            return;
        }
        suspicion.withdraw(server);
        suspicion.endTrial(server);
        if (suspicion.empty()) {
            suspicions.remove(fingerprint);
        }
    }

    /** Lets others be told at once of the possible crashes of a request that is suspected repeatedly. */
    private void announceRepeated(Suspicion suspicion) {
        if (suspicion.coincidences() >= SERVERS_TO_RETAIN) {
            urgentCrashes.addAll(suspicion.unannounced);
            suspicion.unannounced.clear();
        }
    }

    /**
     * Removes and returns the possible crashes of this host that others have to be told of at once, since the request
     * is suspected repeatedly.
     */
    public List<Crash> pollUrgentCrashes() {
        if (urgentCrashes.isEmpty()) {
            return List.of();
        }
        List<Crash> urgent = List.copyOf(urgentCrashes);
        urgentCrashes.clear();
        return urgent;
    }

    /**
     * Withdraws the possible crashes that are disproved or as old as a watched attempt may get.
     *
     * @param disproved returns whether the backend server of a possible crash goes on running
     * @return the withdrawn crashes
     */
    public List<Crash> withdrawDisproved(Predicate<Crash> disproved, long now) {
        if (doubtful.isEmpty()) {
            return List.of();
        }
        List<Crash> withdrawn = new ArrayList<>();
        for (long fingerprint : doubtful) {
            possibleCrashes(fingerprint).stream()
                    .filter(crash -> now - crash.endedAt() >= MAXIMUM_DOUBT_NANOSECONDS || disproved.test(crash))
                    .forEach(withdrawn::add);
        }
        withdrawn.forEach(crash -> withdraw(crash.fingerprint(), crash.server()));
        doubtful.removeIf(fingerprint -> possibleCrashes(fingerprint).isEmpty());
        return withdrawn;
    }

    /** Returns the possible crashes of a request. */
    private List<Crash> possibleCrashes(long fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null
                ? List.of()
                : suspicion.unconfirmed.values().stream()
                        .map(Suspicion.KnownCrash::crash)
                        .toList();
    }

    /**
     * Records that the only copy of a suspected request is about to be sent; see {@link #mayBeginTrial}.
     *
     * @param server the process of the backend server
     */
    public void beginTrial(long fingerprint, String server, long now) {
        Suspicion suspicion = suspicionOf(fingerprint, now);
        suspicion.trialServer = server;
        suspicion.trialStartedAt = now;
    }

    /** Returns whether a copy of a suspected request may be sent, since no other runs or has run without a result. */
    public boolean mayBeginTrial(long fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null || suspicion.trialServer == null;
    }

    /**
     * Records that a backend server ended, or may have ended, while a request was running there, and returns what that
     * means.
     */
    public CrashFinding recordCrash(Crash crash, long now) {
        Suspicion suspicion = suspicionOf(crash.fingerprint(), now);
        if (suspicion.blockedUntil != 0) {
            suspicion.withdraw(crash.server());
            return CrashFinding.BLOCKED_BEFORE;
        }
        if (!crash.possible() && suspicion.crashes.containsKey(crash.server())) {
            suspicion.endTrial(crash.server());
            return CrashFinding.KNOWN;
        }
        long ownAnswerAt = recentAnswers.latest(crash.fingerprint(), crash.endedAt() - 1);
        if (crash.endedAt() - ownAnswerAt <= 0 && !(suspicion.answered && ownAnswerAt - suspicion.answeredAt <= 0)) {
            suspicion.recordAnswer(ownAnswerAt, now);
        }
        if (suspicion.hasCleared(crash, now)) {
            suspicion.withdraw(crash.server());
            suspicion.endTrial(crash.server());
            return CrashFinding.ANSWERED_SINCE;
        }
        if (suspicion.crashes.containsKey(crash.server())) {
            return CrashFinding.KNOWN;
        }
        return crash.possible() ? recordPossible(suspicion, crash, now) : recordCertain(suspicion, crash, now);
    }

    /** Records the possible crash of a server that is not known to have ended. */
    private CrashFinding recordPossible(Suspicion suspicion, Crash crash, long now) {
        if (suspicion.unconfirmed.putIfAbsent(crash.server(), new Suspicion.KnownCrash(crash, now)) != null) {
            return CrashFinding.KNOWN;
        }
        doubtful.add(crash.fingerprint());
        suspicion.lastChangedAt = now;
        noteRepetition(suspicion, now);
        announceRepeated(suspicion);
        return CrashFinding.POSSIBLE;
    }

    /** Records the end of a server. */
    private CrashFinding recordCertain(Suspicion suspicion, Crash crash, long now) {
        int countedBefore = countedServers(crash.fingerprint(), suspicion);
        suspicion.withdraw(crash.server());
        suspicion.lastChangedAt = crash.endedAt();
        suspicion.crashes.put(crash.server(), new Suspicion.KnownCrash(crash, now));
        serverEnds.record(crash);
        noteRepetition(suspicion, now);
        announceRepeated(suspicion);
        int counted = countedServers(crash.fingerprint(), suspicion);
        boolean proved = proves(suspicion, crash);
        if (counted >= SERVERS_TO_BLOCK || proved && suspicion.crashes.size() >= SERVERS_TO_BLOCK) {
            suspicion.blockedUntil = crash.endedAt() + BLOCK_NANOSECONDS;
            suspicion.withdrawAll();
            return CrashFinding.BLOCKED;
        }
        return counted > countedBefore ? CrashFinding.COUNTED : CrashFinding.EXCUSED;
    }

    /**
     * Records the end of a server that ran the only copy of a request, and returns whether it proves that the request
     * ends servers. While many other servers end it takes a second one, since the first may be a coincidence.
     */
    private boolean proves(Suspicion suspicion, Crash crash) {
        if (!suspicion.endTrial(crash.server())) {
            return false;
        }
        suspicion.failedTrials++;
        return suspicion.failedTrials >= FAILED_TRIALS_TO_BLOCK
                || !serverEnds.isMassEnd(crash.endedAt(), end -> isNoOtherCause(end, suspicion, crash.fingerprint()));
    }

    /** Notes that a request may be refused from now on once it is suspected repeatedly. */
    private void noteRepetition(Suspicion suspicion, long now) {
        if (suspicion.coincidences() >= SERVERS_TO_RETAIN) {
            refusalsPossibleUntil = Math.max(refusalsPossibleUntil, now + BLOCK_NANOSECONDS);
        }
    }

    /** Returns the number of ended servers that count against a request. */
    private int countedServers(long fingerprint, Suspicion suspicion) {
        List<Long> endedAt = new ArrayList<>();
        suspicion.crashes.values().forEach(known -> endedAt.add(known.crash().endedAt()));
        return serverEnds.countEvents(endedAt, end -> isNoOtherCause(end, suspicion, fingerprint));
    }

    /** Returns whether a server ended due to this request or to another one that several servers ended under. */
    private boolean isNoOtherCause(ServerEnds.End end, Suspicion suspicion, long fingerprint) {
        return suspicion.crashes.containsKey(end.server()) || explained(end, fingerprint);
    }

    /** Returns whether another request that several servers ended under explains the end of a server. */
    private boolean explained(ServerEnds.End end, long fingerprint) {
        for (long other : end.fingerprints()) {
            Suspicion suspicion = suspicions.get(other);
            if (other != fingerprint && suspicion != null && suspicion.crashes.size() >= SERVERS_TO_RETAIN) {
                return true;
            }
        }
        return false;
    }

    /**
     * Records that a backend server ran a request to a good end. Clears earlier coincidences. A block is not lifted.
     *
     * @param answeredAt the time of the answer in nanoseconds, which is the current time for an answer to this host
     * @return {@code true} if it cleared the end of a server and is an answer to this host, or ends what this host does
     *     about a request that is suspected repeatedly
     */
    public boolean recordAnswer(long fingerprint, long answeredAt, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (answeredAt == now) {
            recentAnswers.record(fingerprint, now);
        }
        if (suspicion == null || suspicion.blockedUntil != 0) {
            return false;
        }
        boolean known = suspicion.answered && answeredAt - suspicion.answeredAt <= 0;
        boolean concernsHost = answeredAt == now || suspicion.coincidences() >= SERVERS_TO_RETAIN;
        boolean cleared = suspicion.clearUntil(answeredAt);
        if (!known && cleared) {
            suspicion.recordAnswer(answeredAt, now);
        }
        if (suspicion.empty()) {
            suspicions.remove(fingerprint);
        }
        return cleared && concernsHost;
    }

    /**
     * Blocks a request that another host reported as blocked.
     *
     * @param until the time until which the request is blocked, in nanoseconds; a later end that is already known stays
     */
    public void block(long fingerprint, long until, long now) {
        Suspicion suspicion = suspicionOf(fingerprint, now);
        suspicion.lastChangedAt = now;
        suspicion.blockedUntil = Math.max(until, suspicion.blockedUntil);
        refusalsPossibleUntil = Math.max(until, refusalsPossibleUntil);
    }

    /** Returns whether a request is suspected but not blocked. */
    public boolean suspected(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null && suspicion.current(now);
    }

    /** Returns the number of different backend servers that ended, or may have ended, while the request was running. */
    public int failedServerCount(long fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? 0 : suspicion.coincidences();
    }

    /**
     * Returns whether a backend server ended, or may have ended, while the request was running, so that another run
     * there would give no new evidence.
     */
    public boolean failedAt(long fingerprint, String server) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null
                && (suspicion.crashes.containsKey(server) || suspicion.unconfirmed.containsKey(server));
    }

    /** Returns whether a request is blocked now. */
    public boolean blocked(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null && suspicion.blocked(now);
    }

    /**
     * Returns whether a request must not be sent now: it is blocked, or would be by the end of a server that is not yet
     * confirmed.
     */
    public boolean refuses(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null) {
            return false;
        }
        if (suspicion.blocked(now)) {
            return true;
        }
        return !suspicion.unconfirmed.isEmpty()
                && suspicion.crashes.size() >= SERVERS_TO_BLOCK - 1
                && countedServers(fingerprint, suspicion) >= SERVERS_TO_BLOCK - 1;
    }

    /** Returns whether any request may be refused now, as a quick check before calls are searched. */
    public boolean refusesAny(long now) {
        return now - refusalsPossibleUntil < 0;
    }

    /** Returns the remaining time of each block in nanoseconds, by the fingerprint of the request. */
    public Map<Long, Long> blockedRequests(long now) {
        Map<Long, Long> remaining = new LinkedHashMap<>();
        suspicions.forEach((fingerprint, suspicion) -> {
            if (suspicion.blocked(now)) {
                remaining.put(fingerprint, suspicion.blockedUntil - now);
            }
        });
        return remaining;
    }

    /** Returns blocked requests for other hosts as {@link #blockedRequests} does; consecutive calls return all. */
    public Map<Long, Long> blocksToShare(int maximum, long now) {
        List<Map.Entry<Long, Long>> all = List.copyOf(blockedRequests(now).entrySet());
        Map<Long, Long> selected = new LinkedHashMap<>();
        sharedBlocks.select(all, maximum).forEach(entry -> selected.put(entry.getKey(), entry.getValue()));
        return selected;
    }

    /**
     * Returns crashes for other hosts: new ones, and all those of requests that are suspected repeatedly. Consecutive
     * calls return all.
     */
    public List<Crash> crashesToShare(int maximum, long now) {
        List<Crash> all = new ArrayList<>();
        for (Suspicion suspicion : suspicions.values()) {
            boolean repeated = suspicion.coincidences() >= SERVERS_TO_RETAIN;
            for (Suspicion.KnownCrash known : suspicion.known()) {
                boolean fresh = now - known.learntAt() < REPETITION_NANOSECONDS;
                boolean expired = now - known.crash().endedAt() >= Suspicion.LIFETIME_NANOSECONDS;
                if (!suspicion.blocked(now) && !expired && (repeated || fresh)) {
                    all.add(known.crash());
                }
            }
        }
        return sharedCrashes.select(all, maximum);
    }

    /** Returns new answers to suspected requests for other hosts. Consecutive calls return all. */
    public List<AnsweredRequest> answersToShare(int maximum, long now) {
        List<AnsweredRequest> all = new ArrayList<>();
        suspicions.forEach((fingerprint, suspicion) -> {
            if (suspicion.answered && now - suspicion.answerLearntAt < REPETITION_NANOSECONDS) {
                all.add(new AnsweredRequest(fingerprint, suspicion.answeredAt));
            }
        });
        return sharedAnswers.select(all, maximum);
    }

    /** Returns the record of a request, a new one if there is none or its suspicion or block has ended. */
    private Suspicion suspicionOf(long fingerprint, long now) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null && !suspicion.expired(now)) {
            return suspicion;
        }
        suspicions.remove(fingerprint);
        makeRoom(now);
        Suspicion created = new Suspicion();
        suspicions.put(fingerprint, created);
        return created;
    }

    /**
     * Once the maximum is reached, removes expired records, or else the oldest one with few coincidences, or else the
     * oldest.
     */
    private void makeRoom(long now) {
        if (suspicions.size() < MAXIMUM_REQUESTS) {
            return;
        }
        suspicions.values().removeIf(suspicion -> suspicion.expired(now));
        if (suspicions.size() < MAXIMUM_REQUESTS) {
            return;
        }
        long removed = suspicions.entrySet().stream()
                .filter(entry ->
                        !entry.getValue().blocked(now) && entry.getValue().coincidences() < SERVERS_TO_RETAIN)
                .findFirst()
                .orElseGet(() -> suspicions.entrySet().iterator().next())
                .getKey();
        suspicions.remove(removed);
    }
}
