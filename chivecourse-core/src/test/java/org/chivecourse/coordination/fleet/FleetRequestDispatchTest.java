package org.chivecourse.coordination.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.util.List;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.state.server.LeavingCause;
import org.chivecourse.state.server.ServerState;
import org.junit.jupiter.api.Test;

/** Guards against requests that a gateway of a fleet sends, repeats, refuses or forgets wrongly. */
class FleetRequestDispatchTest {

    private static FleetNetwork startedFleet() {
        return FleetExchangeTest.startedFleet();
    }

    private static Arrival order() {
        return new Arrival(Method.POST, "/orders/1", 0, 0, true, "", -1, 7, "jobs.example");
    }

    private static Arrival orderWithDeadline(long milliseconds) {
        long nanoseconds = milliseconds * FleetNetwork.NANOSECONDS_PER_MILLISECOND;
        return new Arrival(Method.POST, "/orders/1", nanoseconds, 0, true, "", -1, 7, "jobs.example");
    }

    private static <T extends Decision> List<T> ofType(List<Decision> decisions, Class<T> type) {
        return decisions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static void reportReady(FleetNetwork network, Decision.Send send) {
        network.handle(FleetNetwork.name(3), new Event.AttemptReady(send.attempt()));
    }

    @Test
    void withholdsRequestFromServerThatLeavesDuringConnect() {
        FleetNetwork network = startedFleet();
        Decision.Send send = ofType(network.handle("host-3", new Event.CallArrived(1, order())), Decision.Send.class)
                .get(0);
        network.publish(TextDecoder.server(send.address(), 0, "leaving"));
        network.advance(300);
        List<Decision> decisions = network.handle("host-3", new Event.AttemptReady(send.attempt()));
        assertThat(ofType(decisions, Decision.Proceed.class), empty());
    }

    @Test
    void sendsRefusedRequestToAnotherServer() {
        FleetNetwork network = startedFleet();
        Decision.Send send = ofType(network.handle("host-3", new Event.CallArrived(1, order())), Decision.Send.class)
                .get(0);
        reportReady(network, send);
        List<Decision> decisions = network.handle(
                "host-3", new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(503, true, false, null)));
        assertThat(ofType(decisions, Decision.Send.class), hasSize(1));
    }

    @Test
    void doesNotRetryNonIdempotentRequestAfterBrokenConnection() {
        FleetNetwork network = startedFleet();
        Decision.Send send = ofType(network.handle("host-3", new Event.CallArrived(1, order())), Decision.Send.class)
                .get(0);
        reportReady(network, send);
        List<Decision> decisions = network.handle("host-3", new Event.AttemptBroken(send.attempt(), "reset"));
        assertThat(ofType(decisions, Decision.Send.class), empty());
        assertThat(
                ofType(decisions, Decision.Refuse.class).get(0).refusal().reason(), equalTo(Reason.CONNECTION_BROKEN));
    }

    @Test
    void reportsTimeoutForUnansweredRequestAtDeadline() {
        FleetNetwork network = startedFleet();
        Decision.Send send = ofType(network.handle("host-3", new Event.CallArrived(1, order())), Decision.Send.class)
                .get(0);
        reportReady(network, send);
        network.clearDecisions();
        network.advance(2100);
        assertThat(
                ofType(network.decisions(3), Decision.Refuse.class)
                        .get(0)
                        .refusal()
                        .reason()
                        .status(),
                equalTo(504));
    }

    @Test
    void cutsAnswerThatGoesOnLongAfterDeadline() {
        FleetNetwork network = startedFleet();
        Decision.Send send = ofType(
                        network.handle("host-3", new Event.CallArrived(1, orderWithDeadline(2000))),
                        Decision.Send.class)
                .get(0);
        reportReady(network, send);
        network.handle(
                "host-3", new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(200, false, false, null)));
        network.advance(2500);
        assertThat(ofType(network.decisions(3), Decision.Drop.class), empty());
        network.advance(6000);
        assertThat(ofType(network.decisions(3), Decision.Drop.class), hasSize(1));
        assertThat(network.core(3).openCalls(), equalTo(0));
    }

    @Test
    void marksServerReplacedWhenAnotherIdentityAnswers() {
        FleetNetwork network = startedFleet();
        Decision.Send send = ofType(network.handle("host-3", new Event.CallArrived(1, order())), Decision.Send.class)
                .get(0);
        reportReady(network, send);
        network.handle(
                "host-3",
                new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(421, true, false, null, true, null, 0)));
        assertThat(network.core(3).services().server(send.address()).leavingCause(), equalTo(LeavingCause.REPLACED));
    }

    @Test
    void refusesRequestWithoutMatchingRoute() {
        FleetNetwork network = startedFleet();
        Arrival arrival = new Arrival(Method.GET, "/none/1", 0, 0, true, "", -1, 7, "jobs.example");
        List<Decision> decisions = network.handle("host-3", new Event.CallArrived(1, arrival));
        assertThat(ofType(decisions, Decision.Refuse.class).get(0).refusal().reason(), equalTo(Reason.NO_SERVICE));
    }

    @Test
    void peersAvoidServerReportedUnreachable() {
        FleetNetwork network = startedFleet();
        network.handle("host-3", new Event.ProbeEnded("i1", true, null, 0, ProbeFinding.UNREACHABLE));
        network.advance(10);
        network.handle("host-3", new Event.ProbeEnded("i2", true, null, 0, ProbeFinding.SERVING));
        network.advance(150);
        for (int call = 1; call <= 3; call++) {
            Decision.Send send = ofType(
                            network.handle("host-6", new Event.CallArrived(call, order())), Decision.Send.class)
                    .get(0);
            assertThat(send.address(), equalTo("i2"));
        }
    }

    /** Its own links may be what fails. */
    @Test
    void peersIgnoreServerThatGatewayWithoutAnyAnswerCannotReach() {
        FleetNetwork network = startedFleet();
        network.handle("host-3", new Event.ProbeEnded("i1", true, null, 0, ProbeFinding.UNREACHABLE));
        network.handle("host-3", new Event.ProbeEnded("i2", true, null, 0, ProbeFinding.UNREACHABLE));
        network.advance(150);
        for (String server : List.of("i1", "i2")) {
            ServerState known = network.core(6).services().server(server);
            assertThat(known.condition().isUnreachable(network.now()), equalTo(false));
        }
    }
}
