package org.chivecourse.coordination.reservation;

import java.util.List;
import java.util.random.RandomGenerator;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.fleet.Member;
import org.chivecourse.state.reservation.SlotKey;
import org.chivecourse.state.reservation.SlotRequest;

/** Creates the requests of one gateway for slots, and recognizes them. */
final class SlotRequestFactory {

    /** This gateway. */
    private final Member self;

    /** The source of randomness. */
    private final RandomGenerator random;

    /** The incarnation of this gateway as far as its requests go, zero before the first one. */
    private long incarnation;

    /** The number of requests so far. */
    private long count;

    /** Creates a factory without requests. */
    SlotRequestFactory(Member self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /**
     * Creates the request for a call.
     *
     * @param dataCentre the data centre of the backend servers
     * @param group the group of backend servers
     * @param immediate whether the request is refused rather than queued if no slot is free
     */
    SlotRequest create(CallState call, String dataCentre, int group, boolean immediate, long now) {
        if (incarnation == 0) {
            incarnation = random.nextLong();
        }
        List<String> tried = call.attempts().stream()
                .map(attempt -> attempt.server().identity())
                .distinct()
                .toList();
        return new SlotRequest(
                new SlotKey(self.name(), incarnation, ++count),
                call.terms().service(),
                dataCentre,
                group,
                call.terms().route(),
                call.terms().rank(),
                now - call.terms().firstSentAt(),
                call.terms().deadline() - now,
                call.terms().targetLatencyNanoseconds(),
                immediate,
                tried,
                dataCentre.equals(self.dataCentre()) ? "" : self.address(),
                0);
    }

    /** Returns whether this gateway created a request. */
    boolean created(SlotKey key) {
        return key.name().equals(self.name()) && key.incarnation() == incarnation;
    }
}
