package org.chivecourse.coordination.host;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.protocol.trace.InvariantCheck;
import org.chivecourse.protocol.trace.TraceReplay;
import org.chivecourse.state.server.LoadReport;

/**
 * Guards against violated invariants, calls without an answer and traces that do not replay, under random schedules of
 * arrivals, answers, faults, pauses, drains and configurations.
 */
class HostCoreProperties {

    private static final String SEED = "20261204";

    private static final int STEPS = 300;

    private static final int MAXIMUM_PAUSE_MILLISECONDS = 3000;

    @Property(tries = 200, seed = SEED)
    void keepsInvariantsUnderRandomSchedules(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int servers, @ForAll ChoicePolicy policy) {
        Schedule schedule = new Schedule(seed, servers, policy);
        schedule.run();
        assertThat(new InvariantCheck().violations(schedule.harness.trace()), empty());
    }

    @Property(tries = 100, seed = SEED)
    void answersEveryCallOnceFaultsEnd(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int servers, @ForAll ChoicePolicy policy) {
        Schedule schedule = new Schedule(seed, servers, policy);
        schedule.run();
        schedule.harness.advance(3000);
        schedule.open.forEach(send -> schedule.harness.handle(new Event.AnswerCompleted(send.attempt())));
        assertThat(schedule.harness.core().openCalls(), equalTo(0));
        schedule.harness
                .core()
                .services()
                .all()
                .forEach(service -> service.servers().forEach(server -> assertThat(server.ownInFlight(), equalTo(0))));
    }

    @Property(tries = 30, seed = SEED)
    void replaysEveryTraceToSameDecisions(@ForAll long seed, @ForAll ChoicePolicy policy) {
        Schedule schedule = new Schedule(seed, 5, policy);
        schedule.run();
        assertThat(new TraceReplay().differences(schedule.harness.trace()), empty());
    }

    /** A random schedule, reproducible by its seed. */
    private static final class Schedule {

        private final SplittableRandom random;

        private final CoreHarness harness;

        private final int servers;

        private final List<Decision.Send> connecting = new ArrayList<>();

        private final List<Decision.Send> open = new ArrayList<>();

        private final List<Long> calls = new ArrayList<>();

        private long revision = 1;

        private Schedule(long seed, int servers, ChoicePolicy policy) {
            random = new SplittableRandom(seed);
            harness = new CoreHarness(policy, seed);
            this.servers = servers;
            harness.configure(1, CoreHarness.jobsService(servers));
        }

        private void run() {
            for (int step = 0; step < STEPS; step++) {
                trackAttempts(step());
            }
        }

        private List<Decision> step() {
            return switch (random.nextInt(13)) {
                case 0, 1, 2, 3 -> arrive();
                case 4, 5 -> connect();
                case 6, 7 -> answer();
                case 8 -> fail();
                case 9 -> harness.advance(random.nextInt(4) * 5L);
                case 10 -> pause();
                case 11 -> changeHealth();
                default -> configureOrDisconnectCaller();
            };
        }

        private List<Decision> arrive() {
            boolean order = random.nextBoolean();
            String path = order ? "/jobs/orders" : "/jobs/lookups/" + random.nextInt(5);
            Method method = order ? Method.POST : Method.GET;
            long remaining = random.nextInt(4) == 0 ? random.nextLong(50) * CoreHarness.NANOSECONDS_PER_MILLISECOND : 0;
            boolean replayable = random.nextInt(5) > 0;
            int depth = random.nextInt(4) == 0 ? 1 : 0;
            calls.add(harness.arrive(new Arrival(method, path, remaining, depth, replayable, "", random.nextInt(20))));
            return harness.decisions(Decision.class);
        }

        private List<Decision> connect() {
            if (connecting.isEmpty()) {
                return List.of();
            }
            Decision.Send send = connecting.remove(random.nextInt(connecting.size()));
            if (random.nextInt(6) == 0) {
                return harness.handle(new Event.AttemptUnsent(send.attempt(), "refused"));
            }
            List<Decision> decisions = harness.handle(new Event.AttemptReady(send.attempt()));
            if (!harness.decisions(Decision.Proceed.class).isEmpty()) {
                open.add(send);
            }
            return decisions;
        }

        private List<Decision> answer() {
            if (open.isEmpty()) {
                return List.of();
            }
            Decision.Send send = open.remove(random.nextInt(open.size()));
            int status = random.nextInt(5) == 0 ? 500 : 200;
            LoadReport report = random.nextBoolean() ? new LoadReport(random.nextInt(9), 1) : null;
            Event.AnswerHead head =
                    new Event.AnswerHead(status, random.nextInt(8) == 0, random.nextInt(30) == 0, report);
            List<Decision> all = new ArrayList<>(harness.handle(new Event.AnswerStarted(send.attempt(), head)));
            all.addAll(harness.handle(
                    random.nextInt(6) == 0
                            ? new Event.AttemptBroken(send.attempt(), "cut")
                            : new Event.AnswerCompleted(send.attempt())));
            return all;
        }

        private List<Decision> fail() {
            if (open.isEmpty()) {
                return List.of();
            }
            Decision.Send send = open.remove(random.nextInt(open.size()));
            return harness.handle(new Event.AttemptBroken(send.attempt(), "reset"));
        }

        private List<Decision> pause() {
            return random.nextInt(5) == 0 ? harness.advance(random.nextInt(MAXIMUM_PAUSE_MILLISECONDS)) : List.of();
        }

        private List<Decision> changeHealth() {
            String address = "10.0.0." + (1 + random.nextInt(servers)) + ":80";
            HealthCheckResult[] answers = HealthCheckResult.values();
            return harness.handle(new Event.HealthChecked(address, answers[random.nextInt(answers.length)]));
        }

        private List<Decision> configureOrDisconnectCaller() {
            if (random.nextInt(3) > 0 && !calls.isEmpty()) {
                return harness.handle(new Event.CallerDisconnected(calls.get(random.nextInt(calls.size()))));
            }
            Service service = CoreHarness.jobsService(servers);
            List<BackendServer> changed = new ArrayList<>(service.backendServers());
            changed.set(0, changed.get(0).leaving());
            long next = Math.max(1, revision + random.nextInt(4) - 1);
            revision = Math.max(revision, next);
            return harness.configure(next, random.nextBoolean() ? service : service.backendServers(changed));
        }

        private void trackAttempts(List<Decision> decisions) {
            for (Decision decision : decisions) {
                if (decision instanceof Decision.Send send) {
                    connecting.add(send);
                } else if (decision instanceof Decision.Drop drop) {
                    connecting.removeIf(send -> send.attempt() == drop.attempt());
                    open.removeIf(send -> send.attempt() == drop.attempt());
                }
            }
        }
    }
}
