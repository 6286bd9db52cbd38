package org.chivecourse.coordination.host;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Priority;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.protocol.trace.InvariantCheck;
import org.chivecourse.protocol.trace.TraceReplay;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.ServerState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that run twice, wrongly reported outcomes, requests that are sent to leaving servers,
 * reverted configurations and traces that do not replay. Each test passes single events to the core.
 */
class HostCoreTest {

    private static Arrival keyed(String path) {
        return new Arrival(Method.POST, path, 0, 0, true, "key-1", 7);
    }

    private static void completeCalls(CoreHarness harness, int answers) {
        for (int count = 0; count < answers; count++) {
            harness.arrive(Method.GET, "/jobs/lookups/" + count);
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.advance(10);
            harness.answer(send, 200);
            harness.handle(new Event.AnswerCompleted(send.attempt()));
        }
    }

    @Nested
    class Retries {

        @Test
        void neverRetriesOrderAfterConnectionBreaks() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(3));
            harness.arrive(Method.POST, "/jobs/orders");
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.breakConnection(send);
            assertThat(harness.decisions(Decision.Send.class), empty());
            assertThat(harness.onlyDecision(Decision.Refuse.class).refusal().outcome(), equalTo(Outcome.UNKNOWN));
        }

        @Test
        void sendsUnsentOrderToAnotherServer() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(3));
            harness.arrive(Method.POST, "/jobs/orders");
            Decision.Send first = harness.onlyDecision(Decision.Send.class);
            harness.handle(new Event.AttemptUnsent(first.attempt(), "refused"));
            assertThat(harness.onlyDecision(Decision.Send.class).address(), not(equalTo(first.address())));
        }

        @Test
        void sendsLookupAtMostThreeTimes() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(5));
            harness.arrive(Method.GET, "/jobs/lookups/1");
            int sent = 0;
            while (!harness.decisions(Decision.Send.class).isEmpty()) {
                Decision.Send send = harness.onlyDecision(Decision.Send.class);
                harness.connect(send);
                sent++;
                harness.breakConnection(send);
                if (harness.decisions(Decision.Send.class).isEmpty()) {
                    harness.advance(5);
                }
            }
            assertThat(sent, equalTo(3));
        }

        @Test
        void onlyOutermostGatewayRetries() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(5));
            harness.arrive(new Arrival(Method.GET, "/jobs/lookups/1", 0, 1, true, "", 1));
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.breakConnection(send);
            assertThat(harness.decisions(Decision.Send.class), empty());
            assertThat(harness.decisions(Decision.Refuse.class), hasSize(1));
        }

        @Test
        void boundsRetriesWhenAllServersFail() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(20));
            int calls = 2000;
            int sent = 0;
            for (int call = 0; call < calls; call++) {
                harness.arrive(new Arrival(Method.GET, "/jobs/lookups/1", 0, 0, true, "", call));
                List<Decision.Send> open = harness.decisions(Decision.Send.class);
                while (!open.isEmpty()) {
                    harness.connect(open.get(0));
                    sent++;
                    harness.answer(open.get(0), 503);
                    harness.handle(new Event.AnswerCompleted(open.get(0).attempt()));
                    open = harness.decisions(Decision.Send.class);
                }
            }
            assertThat(sent, lessThanOrEqualTo(calls + calls / 10 + 20));
        }

        @Test
        void neverRetriesLookupThatCannotBeReplayed() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(3));
            harness.arrive(new Arrival(Method.GET, "/jobs/lookups/1", 0, 0, false, "", 1));
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.breakConnection(send);
            assertThat(harness.decisions(Decision.Send.class), empty());
        }
    }

    @Nested
    class Outcomes {

        @Test
        void reportsRefusedOrderAsNotRun() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            harness.arrive(Method.POST, "/jobs/orders");
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.refuse(send);
            Decision.Refusal refusal =
                    harness.onlyDecision(Decision.Refuse.class).refusal();
            assertThat(refusal.outcome(), equalTo(Outcome.NOT_RUN));
            assertThat(refusal.retryAfterMilliseconds(), greaterThan(0L));
        }

        @Test
        void neverReportsKeyedRequestAsNotRun() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(1));
            harness.arrive(keyed("/nowhere"));
            assertThat(harness.onlyDecision(Decision.Refuse.class).refusal().outcome(), equalTo(Outcome.UNKNOWN));
        }

        @Test
        void reportsNotRunWhenDeadlinePassesInQueue() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(1));
            harness.arrive(Method.POST, "/jobs/orders");
            Decision.Send first = harness.onlyDecision(Decision.Send.class);
            harness.connect(first);
            harness.arrive(new Arrival(
                    Method.POST, "/jobs/orders", 20 * CoreHarness.NANOSECONDS_PER_MILLISECOND, 0, true, "", 2));
            harness.advance(25);
            assertThat(
                    harness.onlyDecision(Decision.Refuse.class).refusal().reason(),
                    equalTo(Reason.DEADLINE_UNREACHABLE));
            assertThat(harness.onlyDecision(Decision.Refuse.class).refusal().outcome(), equalTo(Outcome.NOT_RUN));
        }

        @Test
        void withdrawsAttemptReadyAfterDeadline() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(1));
            harness.arrive(Method.POST, "/jobs/orders");
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.advance(0);
            CoreHarness delayed = CoreHarness.withService(CoreHarness.jobsService(1));
            delayed.arrive(new Arrival(Method.POST, "/jobs/orders", 1, 0, true, "", 2));
            Decision.Send delayedSend = delayed.onlyDecision(Decision.Send.class);
            delayed.advance(5);
            assertThat(delayed.connect(delayedSend), equalTo(false));
            assertThat(harness.connect(send), equalTo(true));
        }

        @Test
        void refusesCallThatCannotMeetDeadline() {
            Service service = CoreHarness.jobsService(1).limits(Limits.DEFAULT.deadline(Duration.ofMillis(25)));
            CoreHarness harness = CoreHarness.withService(service);
            completeCalls(harness, 20);
            int refused = 0;
            for (int call = 0; call < 10; call++) {
                harness.arrive(Method.POST, "/jobs/orders");
                refused += harness.decisions(Decision.Refuse.class).size();
            }
            assertThat(refused, greaterThan(5));
        }

        @Test
        void limitsQueueShareOfLowPriority() {
            CoreHarness harness = CoreHarness.withService(
                    CoreHarness.jobsService(1).priority(Priority.LOW).limits(Limits.DEFAULT.queueLimit(10_000)));
            int accepted = 0;
            for (int call = 0; call < 1000; call++) {
                harness.arrive(Method.POST, "/jobs/orders");
                accepted += harness.decisions(Decision.Refuse.class).isEmpty() ? 1 : 0;
            }
            assertThat(accepted, equalTo(600));
        }
    }

    @Nested
    class Hedging {

        @Test
        void hedgesSlowLookupAndDropsSlowerAttempt() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(4));
            completeCalls(harness, 100);
            harness.arrive(Method.GET, "/jobs/lookups/slow");
            Decision.Send first = harness.onlyDecision(Decision.Send.class);
            harness.connect(first);
            harness.advance(200);
            Decision.Send second = harness.onlyDecision(Decision.Send.class);
            assertThat(second.address(), not(equalTo(first.address())));
            harness.connect(second);
            harness.answer(second, 200);
            assertThat(harness.onlyDecision(Decision.Drop.class).attempt(), equalTo(first.attempt()));
            assertThat(harness.onlyDecision(Decision.Deliver.class).attempt(), equalTo(second.attempt()));
        }

        @Test
        void ignoresLateAnswerOfDroppedAttempt() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(4));
            completeCalls(harness, 100);
            harness.arrive(Method.GET, "/jobs/lookups/slow");
            Decision.Send first = harness.onlyDecision(Decision.Send.class);
            harness.connect(first);
            harness.advance(200);
            Decision.Send second = harness.onlyDecision(Decision.Send.class);
            harness.connect(second);
            harness.answer(second, 200);
            harness.answer(first, 200);
            assertThat(harness.decisions(Decision.Deliver.class), empty());
        }

        @Test
        void neverHedgesSlowOrder() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(4));
            completeCalls(harness, 100);
            harness.arrive(Method.POST, "/jobs/orders");
            harness.connect(harness.onlyDecision(Decision.Send.class));
            harness.advance(500);
            assertThat(harness.decisions(Decision.Send.class), empty());
        }
    }

    @Nested
    class Drains {

        @Test
        void leavingServerFinishesCallAndGetsNoNewOnes() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            harness.arrive(Method.GET, "/jobs/lookups/1");
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.handle(new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(200, false, true, null)));
            assertThat(harness.decisions(Decision.Deliver.class), hasSize(1));
            for (int call = 0; call < 20; call++) {
                harness.arrive(Method.GET, "/jobs/lookups/" + call);
                harness.decisions(Decision.Send.class)
                        .forEach(next -> assertThat(next.address(), not(equalTo(send.address()))));
            }
        }

        @Test
        void withdrawsAttemptWhenServerLeavesBeforeSending() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            harness.arrive(Method.GET, "/jobs/lookups/1");
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.handle(new Event.HealthChecked(send.address(), HealthCheckResult.LEAVING));
            assertThat(harness.connect(send), equalTo(false));
            assertThat(harness.onlyDecision(Decision.Send.class).address(), not(equalTo(send.address())));
        }

        @Test
        void returnsFlappingServerToServiceOnlyAfterDelay() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            String address = "10.0.0.1:80";
            ServerState server = harness.core().services().server(address);
            harness.handle(new Event.HealthChecked(address, HealthCheckResult.LEAVING));
            harness.handle(new Event.HealthChecked(address, HealthCheckResult.SERVING));
            assertThat(server.leavingCause(), equalTo(LeavingCause.HEALTH));
            harness.advance(5000);
            harness.handle(new Event.HealthChecked(address, HealthCheckResult.SERVING));
            assertThat(server.leavingCause(), equalTo(LeavingCause.NONE));
            harness.handle(new Event.HealthChecked(address, HealthCheckResult.LEAVING));
            harness.handle(new Event.HealthChecked(address, HealthCheckResult.SERVING));
            harness.advance(5000);
            harness.handle(new Event.HealthChecked(address, HealthCheckResult.SERVING));
            assertThat(server.leavingCause(), equalTo(LeavingCause.HEALTH));
        }

        @Test
        void sendsNothingToServerConfiguredAsLeaving() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            Service changed = CoreHarness.jobsService(2);
            changed = changed.backendServers(List.of(
                    changed.backendServers().get(0).leaving(),
                    changed.backendServers().get(1)));
            harness.configure(2, changed);
            harness.arrive(Method.GET, "/jobs/lookups/1");
            assertThat(harness.onlyDecision(Decision.Send.class).address(), equalTo("10.0.0.2:80"));
        }

        @Test
        void checksHealthOfIdleServersWithinTwoSeconds() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            Set<String> checked = harness.advance(2000).stream()
                    .filter(Decision.CheckHealth.class::isInstance)
                    .map(decision -> ((Decision.CheckHealth) decision).address())
                    .collect(Collectors.toSet());
            assertThat(checked, equalTo(Set.of("10.0.0.1:80", "10.0.0.2:80")));
        }
    }

    @Nested
    class Configurations {

        @Test
        void ignoresLowerRevision() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            harness.configure(5, CoreHarness.jobsService(3));
            assertThat(harness.configure(4, CoreHarness.jobsService(2)), empty());
            assertThat(harness.core().configurations().revision(), equalTo(5L));
        }

        @Test
        void conflictingRevisionsResolveIndependentlyOfOrder() {
            CoreHarness first = new CoreHarness(ChoicePolicy.RANDOM, 1);
            first.configure(2, CoreHarness.jobsService(2));
            first.configure(2, CoreHarness.jobsService(3));
            CoreHarness second = new CoreHarness(ChoicePolicy.RANDOM, 1);
            second.configure(2, CoreHarness.jobsService(3));
            second.configure(2, CoreHarness.jobsService(2));
            assertThat(digest(first), equalTo(digest(second)));
            assertThat(first.core().configurations().conflict(), not(equalTo("")));
            assertThat(second.core().configurations().conflict(), not(equalTo("")));
        }

        private String digest(CoreHarness harness) {
            return harness.core()
                    .configurations()
                    .current()
                    .orElseThrow()
                    .printed()
                    .digest();
        }

        @Test
        void answersAcceptedCallOfRemovedService() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            long call = harness.arrive(Method.GET, "/jobs/lookups/1");
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            harness.connect(send);
            harness.configure(
                    2,
                    Service.named("other")
                            .backendServer(
                                    CoreHarness.jobsService(9).backendServers().get(8)));
            harness.answer(send, 200);
            assertThat(harness.onlyDecision(Decision.Deliver.class).call(), equalTo(call));
        }
    }

    @Nested
    class Traces {

        @Test
        void replaysTraceToSameDecisions() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(4));
            completeCalls(harness, 30);
            assertThat(new TraceReplay().differences(harness.trace()), empty());
            assertThat(new InvariantCheck().violations(harness.trace()), empty());
        }

        @Test
        void choiceConsidersLoadReports() {
            CoreHarness harness = CoreHarness.withService(CoreHarness.jobsService(2));
            harness.core().services().server("10.0.0.1:80").recordReport(new LoadReport(50, 1), harness.now());
            harness.core().services().server("10.0.0.2:80").recordReport(new LoadReport(0, 1), harness.now());
            harness.arrive(Method.GET, "/jobs/lookups/1");
            assertThat(harness.onlyDecision(Decision.Send.class).address(), equalTo("10.0.0.2:80"));
        }
    }
}
