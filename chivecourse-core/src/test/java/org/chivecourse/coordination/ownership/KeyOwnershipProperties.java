package org.chivecourse.coordination.ownership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.membership.PeerNetwork;

/**
 * Sends duplicates of keyed requests to several hosts while messages are lost, hosts are paused or restarted and
 * connections break, as drawn from a seed. Guards against a request that runs twice because two hosts acquire its key.
 */
class KeyOwnershipProperties {

    private static final long LIFETIME_MILLISECONDS = 3000;

    private static final int STEPS = 60;

    @Property(tries = 300, seed = "20261204")
    void keyedRequestRunsAtMostOnce(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int hosts) {
        DuplicateScenario scenario = new DuplicateScenario(hosts, seed, LIFETIME_MILLISECONDS);
        for (int step = 0; step < STEPS; step++) {
            scenario.takeRandomStep();
        }
        scenario.runs.values().forEach(runs -> assertThat(runs, lessThanOrEqualTo(1)));
        assertThat(scenario.notRunCount, equalTo(0));
    }

    /** Guards against a property that holds only because hardly any request runs. */
    @Example
    void mostKeysRunAcrossRandomSchedules() {
        int keysRun = 0;
        for (long seed = 1; seed <= 50; seed++) {
            DuplicateScenario scenario = new DuplicateScenario(4, seed, LIFETIME_MILLISECONDS);
            for (int step = 0; step < STEPS; step++) {
                scenario.takeRandomStep();
            }
            keysRun += scenario.runs.size();
        }
        assertThat(keysRun, greaterThan(50));
    }

    @Example
    void refusesDuplicateAtAnotherHostBeforeAndAfterAnswer() {
        DuplicateScenario scenario = new DuplicateScenario(3, 1, LIFETIME_MILLISECONDS);
        scenario.arrive("host-0", "order", -1);
        scenario.network.advance(50);
        scenario.arrive("host-1", "order", -1);
        scenario.network.advance(50);
        assertThat(scenario.reasons, equalTo(List.of(Reason.COPY_HELD)));
        scenario.answerAll();
        scenario.arrive("host-2", "order", -1);
        scenario.network.advance(50);
        assertThat(scenario.reasons, equalTo(List.of(Reason.COPY_HELD, Reason.COPY_HELD)));
        assertThat(scenario.runs, equalTo(Map.of("order", 1)));
    }

    @Example
    void refusesRequestWhenOneHostCannotBeQueried() {
        DuplicateScenario scenario = new DuplicateScenario(3, 2, LIFETIME_MILLISECONDS);
        scenario.network.setConnectivity((from, to) -> !to.equals("host-2"));
        scenario.arrive("host-0", "order", -1);
        scenario.network.advance(500);
        assertThat(scenario.reasons, equalTo(List.of(Reason.COPY_NOT_KNOWN)));
        assertThat(scenario.runs, equalTo(Map.of()));
    }

    /** The restarted host has lost its keys. If it replied that a key is free, the request would run a second time. */
    @Example
    void restartedHostCannotRuleOutEarlierRun() {
        DuplicateScenario scenario = new DuplicateScenario(3, 3, LIFETIME_MILLISECONDS);
        scenario.arrive("host-0", "order", -1);
        scenario.network.advance(50);
        scenario.restart("host-0");
        scenario.arrive("host-1", "order", -1);
        scenario.network.advance(500);
        assertThat(scenario.runs, equalTo(Map.of("order", 1)));
        assertThat(scenario.reasons, equalTo(List.of(Reason.COPY_NOT_KNOWN)));
    }

    @Example
    void restartedHostFreesKeysYoungerThanItsUptime() {
        DuplicateScenario scenario = new DuplicateScenario(3, 4, LIFETIME_MILLISECONDS * 100);
        scenario.restart("host-0");
        scenario.network.advance(5000);
        scenario.arrive("host-1", "old", -1);
        scenario.arrive("host-1", "young", 1);
        scenario.network.advance(500);
        assertThat(scenario.runs, equalTo(Map.of("young", 1)));
    }

    @Example
    void unsentRequestMayRunAtAnotherHost() {
        DuplicateScenario scenario = new DuplicateScenario(3, 5, LIFETIME_MILLISECONDS);
        scenario.connectionsSucceed = false;
        scenario.arrive("host-0", "order", -1);
        scenario.network.advance(200);
        scenario.connectionsSucceed = true;
        scenario.arrive("host-1", "order", -1);
        scenario.network.advance(200);
        assertThat(scenario.runs, equalTo(Map.of("order", 1)));
    }

    /** Sends keyed requests to the hosts of a simulated network and counts how often each key runs. */
    private static final class DuplicateScenario {

        private final SplittableRandom random;

        private final PeerNetwork network;

        private final List<String> names;

        /** The number of times that the request of each key was dispatched to a backend server. */
        private final Map<String, Integer> runs = new HashMap<>();

        private final Map<String, String> keys = new HashMap<>();

        private final List<OpenAttempt> openAttempts = new ArrayList<>();

        private final List<Reason> reasons = new ArrayList<>();

        private final Map<String, Integer> incarnations = new HashMap<>();

        private int notRunCount;

        private long calls;

        private boolean connectionsSucceed = true;

        private record OpenAttempt(String host, int incarnation, long attempt, String key) {}

        private DuplicateScenario(int hosts, long seed, long lifetimeMilliseconds) {
            random = new SplittableRandom(seed);
            HostSettings.KeyLimits limits =
                    new HostSettings.KeyLimits(lifetimeMilliseconds * PeerNetwork.NANOSECONDS_PER_MILLISECOND, 1000);
            network = new PeerNetwork(hosts, seed, limits);
            names = List.copyOf(network.names());
            network.observeDecisions(this::handleDecision);
            names.forEach(name -> network.readConfiguration(name, PeerNetwork.configuration(1)));
            network.advance(lifetimeMilliseconds < 60_000 ? lifetimeMilliseconds + 100 : 3000);
        }

        private void handleDecision(String host, Decision decision) {
            if (decision instanceof Decision.Send send) {
                connect(host, send);
            } else if (decision instanceof Decision.Refuse refuse) {
                reasons.add(refuse.refusal().reason());
                notRunCount += refuse.refusal().outcome() == Outcome.NOT_RUN ? 1 : 0;
            }
        }

        private void connect(String host, Decision.Send send) {
            String key = keys.get(host + send.call());
            if (!connectionsSucceed) {
                network.deliver(host, new Event.AttemptUnsent(send.attempt(), "refused"));
                return;
            }
            List<Decision> decisions = new ArrayList<>();
            network.core(host).handle(new Event.AttemptReady(send.attempt()), network.now(), decisions::add);
            if (decisions.stream().anyMatch(Decision.Proceed.class::isInstance)) {
                runs.merge(key, 1, Integer::sum);
                openAttempts.add(new OpenAttempt(host, incarnations.getOrDefault(host, 0), send.attempt(), key));
            }
        }

        private void arrive(String host, String key, long ageNanoseconds) {
            calls++;
            keys.put(host + calls, key);
            Arrival arrival =
                    new Arrival(Method.POST, "/jobs/orders", 0, 0, true, key, ageNanoseconds, key.hashCode(), "");
            network.deliver(host, new Event.CallArrived(calls, arrival));
        }

        private void restart(String host) {
            incarnations.merge(host, 1, Integer::sum);
            network.start(host);
            network.readConfiguration(host, PeerNetwork.configuration(1));
        }

        private void answerAll() {
            for (OpenAttempt attempt : List.copyOf(openAttempts)) {
                answer(attempt);
            }
        }

        private void answer(OpenAttempt attempt) {
            openAttempts.remove(attempt);
            if (incarnations.getOrDefault(attempt.host(), 0) != attempt.incarnation()) {
                return;
            }
            network.deliver(
                    attempt.host(),
                    new Event.AnswerStarted(attempt.attempt(), new Event.AnswerHead(200, false, false, null)));
            network.deliver(attempt.host(), new Event.AnswerCompleted(attempt.attempt()));
        }

        private void breakConnection(OpenAttempt attempt) {
            openAttempts.remove(attempt);
            if (incarnations.getOrDefault(attempt.host(), 0) == attempt.incarnation()) {
                network.deliver(attempt.host(), new Event.AttemptBroken(attempt.attempt(), "reset"));
            }
        }

        /**
         * Takes one random step. Each key is used for two seconds only, so that duplicates arrive within its lifetime.
         */
        private void takeRandomStep() {
            String host = names.get(random.nextInt(names.size()));
            switch (random.nextInt(10)) {
                case 0, 1, 2, 3 ->
                    arrive(host, "key-" + network.now() / (2000 * PeerNetwork.NANOSECONDS_PER_MILLISECOND), -1);
                case 4 -> finishRandomAttempt();
                case 5 -> changeConnectivity();
                case 6 -> network.setLossShare(random.nextInt(3) * 0.2);
                case 7 -> pauseOrResume(host);
                case 8 -> {
                    if (random.nextInt(6) == 0) {
                        restart(host);
                    }
                }
                default -> network.advance(random.nextInt(400));
            }
            network.advance(random.nextInt(20));
        }

        private void finishRandomAttempt() {
            if (openAttempts.isEmpty()) {
                return;
            }
            OpenAttempt attempt = openAttempts.get(random.nextInt(openAttempts.size()));
            if (random.nextBoolean()) {
                answer(attempt);
            } else {
                breakConnection(attempt);
            }
        }

        private void changeConnectivity() {
            if (random.nextBoolean()) {
                network.setConnectivity((from, to) -> true);
                return;
            }
            String lost = names.get(random.nextInt(names.size()));
            boolean oneWay = random.nextBoolean();
            network.setConnectivity((from, to) -> !to.equals(lost) && (oneWay || !from.equals(lost)));
        }

        private void pauseOrResume(String host) {
            if (random.nextBoolean()) {
                network.pause(host);
                return;
            }
            names.forEach(network::resume);
        }
    }
}
