package org.chivecourse.coordination.crossing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.ServerMode;
import org.chivecourse.state.fleet.Room;
import org.chivecourse.state.server.LoadReport;
import org.chivecourse.state.server.ServerState;
import org.junit.jupiter.api.Test;

/** Replays single choices and a minute of overflow. Guards against calls that leave unless that pays. */
class LeavingRuleTest {

    private static final double NO_ROOM = LeavingRule.NO_ROOM;

    private static final long MILLISECOND = 1_000_000L;

    private static final LeavingRule RULE = LeavingRule.INSTANCE;

    private static ServerState server(String identity, String dataCentre, boolean local) {
        BackendServer server = new BackendServer("10.0.0.1:80", dataCentre, 4, 200, ServerMode.ACTIVE, identity);
        return new ServerState(server, 1, local, 0, true);
    }

    @Test
    void staysWhileAnswerSurelyMakesTargetThoughOtherServerIsFaster() {
        assertThat(RULE.stays(390, 500, 200, 0, 0), equalTo(true));
        assertThat(RULE.stays(410, 500, 200, 0, 0), equalTo(false));
    }

    @Test
    void leavesOnlyForAnswerThatMakesTarget() {
        assertThat(RULE.leaves(600, 450, 500), equalTo(true));
        assertThat(RULE.leaves(800, 550, 500), equalTo(false));
        assertThat(RULE.leaves(500, 450, 500), equalTo(false));
        assertThat(RULE.leaves(NO_ROOM, 550, 500), equalTo(true));
    }

    @Test
    void waitsForRoomAsLongAsBytesAreWorthUnlessTargetIsNear() {
        assertThat(RULE.stays(NO_ROOM, 500, 200, 4, 10), equalTo(true));
        assertThat(RULE.stays(NO_ROOM, 500, 200, 10, 10), equalTo(false));
        assertThat(RULE.stays(NO_ROOM, 205, 200, 4, 10), equalTo(false));
        assertThat(RULE.stays(NO_ROOM, 500, 200, 0, 0), equalTo(false));
    }

    @Test
    void allSendersTogetherKeepToWhatDataCentreSaid() {
        int senders = 6;
        int sent = 0;
        ServerState server = server("i-1", "dc-2", false);
        for (int sender = 0; sender < senders; sender++) {
            ServiceCrossing crossing = new ServiceCrossing(0);
            for (long now = 0; now < 60_000 * MILLISECOND; now += 10 * MILLISECOND) {
                if (now % (1000 * MILLISECOND) == 0) {
                    crossing.record("dc-2", new Room("jobs", 40, 20, 12, now), senders, now);
                }
                if (crossing.takes(server, now)) {
                    crossing.recordRequest(server);
                    sent++;
                }
            }
        }
        assertThat(sent, lessThanOrEqualTo(12 * 60 + senders));
    }

    @Test
    void sendsNothingToDataCentreWithoutRoom() {
        ServiceCrossing crossing = new ServiceCrossing(0);
        crossing.record("dc-2", new Room("jobs", 0, 0, 0, 0), 1, 0);
        assertThat(crossing.takes(server("i-1", "dc-2", false), 0), equalTo(false));
    }

    @Test
    void triesUnknownDataCentreOneRequestAtATime() {
        ServiceCrossing crossing = new ServiceCrossing(0);
        ServerState server = server("i-1", "dc-2", false);
        assertThat(crossing.takes(server, 0), equalTo(true));
        server.beginRequest(0);
        assertThat(crossing.takes(server, 0), equalTo(false));
        server.contact().recordAnswerToOthers(0);
        assertThat(crossing.takes(server, 100 * MILLISECOND), equalTo(true));
    }

    @Test
    void oldNewsCountsLessAndThenNoMore() {
        ForeignRoom room = new ForeignRoom(new Room("jobs", 40, 20, 10, 0), 0);
        int sent = 0;
        for (long now = 0; now < ForeignRoom.MAXIMUM_AGE_NANOSECONDS; now += 10 * MILLISECOND) {
            if (room.permits(1, now)) {
                room.recordRequest();
                sent++;
            }
        }
        assertThat(sent, lessThanOrEqualTo(18));
        assertThat(room.outdated(ForeignRoom.MAXIMUM_AGE_NANOSECONDS + 1), equalTo(true));
    }

    @Test
    void roomCountsOnlyLocalServersThatAnswer() {
        ServerState busy = server("i-1", "dc-1", true);
        busy.recordReport(new LoadReport(3, 4), 0);
        ServerState away = server("i-2", "dc-1", true);
        away.condition().markUnreachable(0);
        Room room = RoomSummary.INSTANCE.of("jobs", List.of(busy, away, server("i-3", "dc-2", false)), 1, 0);
        assertThat(room, equalTo(new Room("jobs", 4, 3, room.spareRequestsPerSecond(), 0)));
    }

    @Test
    void dividesLoadAmongServersWithoutReportOfTheirOwn() {
        ServerState known = server("i-1", "dc-2", false);
        known.recordReport(new LoadReport(0, 4), 900 * MILLISECOND);
        ServerState unknown = server("i-2", "dc-2", false);
        RoomSummary.INSTANCE.divide("dc-2", new Room("jobs", 8, 6, 1, 1000 * MILLISECOND), List.of(known, unknown));
        assertThat(known.othersInFlight(), equalTo(0));
        assertThat(unknown.othersInFlight(), equalTo(3));
    }
}
