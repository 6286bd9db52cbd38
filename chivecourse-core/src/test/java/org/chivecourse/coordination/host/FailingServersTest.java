package org.chivecourse.coordination.host;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.coordination.poison.PoisonRequests;
import org.chivecourse.state.fleet.Crash;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against failing backend servers that keep receiving requests, and against requests that crash one backend
 * server after the other.
 */
class FailingServersTest {

    @Nested
    class Ejections {

        @Test
        void ejectsServerThatFailsFast() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(4));
            int sentToFailingServer = 0;
            for (int call = 0; call < 200; call++) {
                harness.arrive(new Arrival(Method.GET, "/jobs/lookups/1", 0, 0, true, "", call));
                Decision.Send send = harness.onlyDecision(Decision.Send.class);
                harness.connect(send);
                boolean failing = send.address().equals("10.0.0.1:80");
                sentToFailingServer += failing ? 1 : 0;
                harness.advance(failing ? 0 : 10);
                harness.answer(send, failing ? 500 : 200);
                harness.handle(new Event.AnswerCompleted(send.attempt()));
            }
            assertThat(sentToFailingServer, lessThanOrEqualTo(20));
        }

        @Test
        void ejectsAtMostThirdOfServers() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(6));
            Set<String> ejected = new HashSet<>();
            for (int call = 0; call < 200; call++) {
                harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", call));
                Decision.Send send = harness.onlyDecision(Decision.Send.class);
                harness.connect(send);
                harness.answer(send, 500).forEach(decision -> {
                    if (decision instanceof Decision.Audit audit) {
                        ejected.add(audit.change().name());
                    }
                });
                harness.handle(new Event.AnswerCompleted(send.attempt()));
            }
            assertThat(ejected, hasSize(2));
        }
    }

    @Nested
    class RequestBlocking {

        private Decision.Send crash(CoreHarness harness, long fingerprint) {
            harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", fingerprint));
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.breakConnection(send);
            return send;
        }

        /** Breaks the connection of a request, unless it has to wait for the result of another copy. */
        private void crashIfSent(CoreHarness harness, long fingerprint) {
            harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", fingerprint));
            for (Decision.Send send : harness.decisions(Decision.Send.class)) {
                harness.connect(send);
                harness.breakConnection(send);
            }
        }

        @Test
        void blocksRequestThatCrashesThreeServers() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(14));
            Set<String> crashed = new HashSet<>();
            for (int duplicate = 0; duplicate < PoisonRequests.SERVERS_TO_BLOCK; duplicate++) {
                crashed.add(crash(harness, 99).address());
                harness.advance(2000);
            }
            harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", 99));
            assertThat(crashed, hasSize(PoisonRequests.SERVERS_TO_BLOCK));
            assertThat(harness.onlyDecision(Decision.Refuse.class).refusal().reason(), equalTo(Reason.CONVICTED));
        }

        /** The only copy ran at a server that had ended under the request before, so that its end told nothing new. */
        @Test
        void sendsNextCopyAfterServerEndsUnderRequestAgain() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            for (int duplicate = 0; duplicate < 5; duplicate++) {
                crash(harness, 99);
                harness.advance(2000);
            }
        }

        @Test
        void blocksRequestAgainThatGoesOnAfterItsBlockHasEnded() {
            PoisonRequests requests = new PoisonRequests();
            long later = PoisonRequests.BLOCK_NANOSECONDS + 1;
            requests.block(99, PoisonRequests.BLOCK_NANOSECONDS, 0);
            for (int server = 1; server <= PoisonRequests.SERVERS_TO_BLOCK; server++) {
                assertThat(requests.blocked(99, later), equalTo(false));
                requests.recordCrash(new Crash(99, "i" + server, later), later);
            }
            assertThat(requests.blocked(99, later), equalTo(true));
        }

        @Test
        void isolatesSuspectedRequest() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(3));
            crash(harness, 99);
            harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", 99));
            Decision.Send suspected = harness.onlyDecision(Decision.Send.class);
            harness.connect(suspected);
            for (int call = 0; call < 10; call++) {
                harness.arrive(Method.GET, "/jobs/lookups/" + call);
                harness.decisions(Decision.Send.class)
                        .forEach(send -> assertThat(send.address(), not(equalTo(suspected.address()))));
            }
        }

        @Test
        void answerClearsSuspicion() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(6));
            for (int round = 0; round < 5; round++) {
                crash(harness, 99);
                harness.advance(2000);
                harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", 99));
                Decision.Send send = harness.onlyDecision(Decision.Send.class);
                harness.connect(send);
                harness.answer(send, 200);
                harness.handle(new Event.AnswerCompleted(send.attempt()));
            }
            assertThat(harness.core().poisonRequests().blocked(99, harness.now()), equalTo(false));
        }

        @Test
        void serverErrorDoesNotClearSuspicion() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(6));
            crash(harness, 99);
            harness.advance(2000);
            harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", 99));
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.answer(send, 500);
            assertThat(harness.core().poisonRequests().suspected(99, harness.now()), equalTo(true));
        }

        @Test
        void connectionBrokenByServerThatGoesOnRunningBlocksNothing() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(14));
            for (int round = 0; round < 5; round++) {
                Decision.Send broken = crash(harness, 99);
                harness.advance(200);
                harness.handle(new Event.HealthChecked(broken.address(), HealthCheckResult.SERVING));
                harness.advance(2000);
            }
            assertThat(harness.core().poisonRequests().blocked(99, harness.now()), equalTo(false));
        }

        @Test
        void withdrawsRequestThatIsBlockedWhileItsConnectionIsEstablished() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(6));
            harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", 99));
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            block(harness, 99);
            assertThat(harness.connect(send), equalTo(false));
            assertThat(harness.onlyDecision(Decision.Refuse.class).refusal().reason(), equalTo(Reason.CONVICTED));
        }

        @Test
        void refusesWaitingRequestAsSoonAsItIsBlocked() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(1));
            for (int call = 0; call < 40; call++) {
                harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", call));
                harness.decisions(Decision.Send.class).forEach(harness::connect);
            }
            long waiting = harness.arrive(new Arrival(Method.POST, "/jobs/orders", 0, 0, true, "", 99));
            assertThat(harness.decisions(Decision.Send.class), empty());
            block(harness, 99);
            harness.advance(5);
            Decision.Refuse refuse = harness.onlyDecision(Decision.Refuse.class);
            assertThat(refuse.call(), equalTo(waiting));
            assertThat(refuse.refusal().reason(), equalTo(Reason.CONVICTED));
        }

        @Test
        void tellsOtherHostsAllBlocksInTurn() {
            PoisonRequests requests = new PoisonRequests();
            Set<Long> told = new HashSet<>();
            for (long fingerprint = 0; fingerprint < 20; fingerprint++) {
                requests.block(fingerprint, PoisonRequests.BLOCK_NANOSECONDS, 0);
            }
            for (int digest = 0; digest < 3; digest++) {
                told.addAll(requests.blocksToShare(8, 0).keySet());
            }
            assertThat(told, hasSize(20));
        }

        private static void block(CoreHarness harness, long fingerprint) {
            harness.core()
                    .poisonRequests()
                    .block(fingerprint, harness.now() + PoisonRequests.BLOCK_NANOSECONDS, harness.now());
        }

        @Test
        void neverBlocksRequestsRunningBesideCrashes() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(14));
            for (int round = 0; round < 5; round++) {
                harness.arrive(new Arrival(Method.GET, "/jobs/lookups/innocent", 0, 0, true, "", 1));
                List<Decision.Send> sends = harness.decisions(Decision.Send.class);
                crash(harness, 99 + round);
                for (Decision.Send send : sends) {
                    harness.connect(send);
                    harness.breakConnection(send);
                    harness.decisions(Decision.Send.class).forEach(next -> {
                        harness.connect(next);
                        harness.answer(next, 200);
                        harness.handle(new Event.AnswerCompleted(next.attempt()));
                    });
                }
                harness.advance(2000);
            }
            assertThat(harness.core().poisonRequests().blocked(1, harness.now()), equalTo(false));
        }

        @Test
        void blocksNothingWhenManyServersFailAtOnce() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(14));
            for (int round = 0; round < 8; round++) {
                crashIfSent(harness, 7);
                crash(harness, 1000 + round);
                crash(harness, 2000 + round);
                crash(harness, 3000 + round);
            }
            assertThat(harness.core().poisonRequests().blocked(7, harness.now()), equalTo(false));
            harness.advance(2000);
            assertThat(harness.core().poisonRequests().blocked(7, harness.now()), equalTo(false));
        }
    }
}
