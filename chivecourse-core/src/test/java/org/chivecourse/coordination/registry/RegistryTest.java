package org.chivecourse.coordination.registry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import org.chivecourse.state.server.RegisteredServer;
import org.junit.jupiter.api.Test;

class RegistryTest {

    private final Registry registry = new Registry();

    private static RegisteredServer server(long incarnation, long sequence, boolean leaving) {
        return new RegisteredServer("i-1", incarnation, sequence, "jobs", "10.0.0.1:80", "a", "v1", 4, leaving, 0);
    }

    @Test
    void aWithdrawnServerIsGoneAtOnce() {
        registry.announce("k", server(1, 1, false));
        assertThat(registry.withdraw("k", 10, 10), equalTo(true));
        assertThat(registry.of("jobs"), empty());
    }

    @Test
    void aServerWhoseEntryLapsedInAnOutageIsKeptUntilItsTime() {
        registry.announce("k", server(1, 1, false));
        registry.withdraw("k", 100, 10);
        assertThat(registry.of("jobs"), hasSize(1));
        assertThat(registry.expire(99), equalTo(false));
        assertThat(registry.expire(100), equalTo(true));
        assertThat(registry.of("jobs"), empty());
    }

    @Test
    void aServerThatReturnsInTimeStays() {
        registry.announce("k", server(1, 1, false));
        registry.withdraw("k", 100, 10);
        registry.announce("k", server(1, 2, false));
        registry.expire(1000);
        assertThat(registry.of("jobs"), hasSize(1));
    }

    @Test
    void anEntryOfAnEarlierLifeIsIgnored() {
        registry.announce("k", server(5, 1, false));
        assertThat(registry.announce("k", server(4, 9, true)), equalTo(false));
        assertThat(registry.of("jobs").get(0).leaving(), equalTo(false));
    }

    @Test
    void anEarlierEntryOfTheSameLifeDoesNotUndoLeaving() {
        registry.announce("k", server(5, 3, true));
        assertThat(registry.announce("k", server(5, 2, false)), equalTo(false));
        assertThat(registry.of("jobs").get(0).leaving(), equalTo(true));
    }

    @Test
    void aServerThatStartsAgainUnderItsNameIsTakenThoughItsCountStartsAnew() {
        registry.announce("k", server(5, 30, true));
        assertThat(registry.announce("k", server(6, 0, false)), equalTo(true));
        assertThat(registry.of("jobs").get(0).incarnation(), equalTo(6L));
    }
}
