package org.chivecourse.coordination.crossing;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chivecourse.state.fleet.Room;
import org.chivecourse.state.server.ServerState;

/** What this gateway knows and needs of a service in other data centres. */
public final class ServiceCrossing {

    /** The time after a call had a reason to leave for which single loads elsewhere are needed, in nanoseconds. */
    private static final long NEED_NANOSECONDS = 1_000_000_000L;

    /** The age up to which the load of a single server shows its room, in nanoseconds. */
    private static final long FRESH_LOAD_NANOSECONDS = 400_000_000L;

    /** The time for which a call waits for room before it leaves, in nanoseconds. */
    private final long patienceNanoseconds;

    /** The time until which loads elsewhere are needed, in nanoseconds. */
    private long neededUntil = Long.MIN_VALUE / 2;

    /** What other data centres said, by name. */
    private final Map<String, ForeignRoom> rooms = new HashMap<>();

    /** The number of gateways in this one's data centre. */
    private int senders = 1;

    /** The number of calls that were sent to other data centres. */
    private long left;

    /**
     * Creates the state of a service of which nothing is known elsewhere.
     *
     * @param patienceNanoseconds the time for which a call waits for room before it leaves, in nanoseconds
     */
    public ServiceCrossing(long patienceNanoseconds) {
        this.patienceNanoseconds = patienceNanoseconds;
    }

    /** Returns the time for which a call waits for room before it leaves, in nanoseconds. */
    public long patienceNanoseconds() {
        return patienceNanoseconds;
    }

    /** Records that a call has a reason to leave, and returns whether none had before. */
    public boolean need(long now) {
        boolean first = !needed(now);
        neededUntil = now + NEED_NANOSECONDS;
        return first;
    }

    /** Returns whether calls have or recently had a reason to leave. */
    public boolean needed(long now) {
        return now - neededUntil < 0;
    }

    /** Records what a data centre said, and how many gateways of this one share it. */
    public void record(String dataCentre, Room room, int gateways, long now) {
        senders = gateways;
        ForeignRoom known = rooms.get(dataCentre);
        if (known == null) {
            rooms.put(dataCentre, new ForeignRoom(room, now));
        } else {
            known.update(room);
        }
    }

    /**
     * Returns whether a backend server of another data centre may be sent a request. If that server's own load is
     * known, it bounds all senders; otherwise what its data centre said does, and this gateway sends its share. A
     * gateway that hears neither has one request open there at a time.
     */
    public boolean takes(ServerState server, long now) {
        ForeignRoom room = rooms.get(server.server().dataCentre());
        boolean stated = room != null && !room.outdated(now);
        if (stated && room.room().slots() == 0) {
            return false;
        }
        long loadKnownAt =
                Math.max(server.contact().answeredOthersAt(), server.contact().answeredAt());
        if (now - loadKnownAt < FRESH_LOAD_NANOSECONDS) {
            return true;
        }
        return stated ? room.permits(senders, now) : server.ownInFlight() == 0;
    }

    /** Records a request that is sent to a backend server of another data centre. */
    public void recordRequest(ServerState server) {
        left++;
        ForeignRoom room = rooms.get(server.server().dataCentre());
        if (room != null) {
            room.recordRequest();
        }
    }

    /** Returns what other data centres said that still counts, by name. */
    public Map<String, Room> rooms(long now) {
        Map<String, Room> counting = new TreeMap<>();
        rooms.forEach((dataCentre, known) -> {
            if (!known.outdated(now)) {
                counting.put(dataCentre, known.room());
            }
        });
        return counting;
    }

    /** Returns the number of requests that were sent to other data centres. */
    public long left() {
        return left;
    }
}
