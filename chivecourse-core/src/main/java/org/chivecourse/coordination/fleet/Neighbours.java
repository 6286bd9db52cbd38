package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Member;

/**
 * The other gateways of a fleet that finds itself by seeds.
 *
 * <p>A gateway hears of others from those it knows, and counts one as live only while it hears of it from itself.
 */
public final class Neighbours {

    /** The time after which a silent gateway of the same data centre is not live, in nanoseconds. */
    static final long NEAR_SILENCE_NANOSECONDS = 700_000_000L;

    /** The number of digests that a gateway of the same data centre may miss. */
    private static final int MISSED_DIGESTS = 3;

    /** The time after which a silent gateway of another data centre is not live, in nanoseconds. */
    static final long FAR_SILENCE_NANOSECONDS = 3_500_000_000L;

    /** The time after which a silent gateway is forgotten, in nanoseconds. */
    private static final long FORGET_NANOSECONDS = 12_000_000_000L;

    /** The time for which the largest size of the fleet is remembered, in nanoseconds. */
    private static final long SIZE_NANOSECONDS = 30_000_000_000L;

    /** The largest number of gateways that are remembered. */
    private static final int LARGEST_SIZE = 2000;

    /** This gateway. */
    private final Member self;

    /** The other gateways by name. */
    private final Map<String, Neighbour> all = new TreeMap<>();

    /** The live gateways at a time, {@code null} if they are not known. */
    private List<Neighbour> live;

    /** The time of the live gateways, in nanoseconds. */
    private long liveAt;

    /** The number of remembered gateways of the same data centre. */
    private int nearCount;

    /** The largest recent size of the fleet. */
    private int largestSize = 1;

    /** The time at which the fleet had that size. */
    private long largestSizeAt;

    /**
     * Creates a fleet of one gateway.
     *
     * @param self this gateway
     */
    Neighbours(Member self) {
        this.self = self;
    }

    /**
     * Takes a digest.
     *
     * @param digest the digest
     * @param now the time in nanoseconds
     * @return the sender, or {@code null} if the digest is not new or this gateway's own
     */
    Neighbour hear(FleetDigest digest, long now) {
        String name = digest.sender().name();
        if (name.equals(self.name()) || all.size() >= LARGEST_SIZE && !all.containsKey(name)) {
            return null;
        }
        learn(digest.sender(), now);
        Neighbour neighbour = all.get(name);
        if (!neighbour.hear(digest, now)) {
            return null;
        }
        live = null;
        digest.members().forEach(member -> learn(member, now));
        if (digest.stopping()) {
            return neighbour;
        }
        noteSize(Math.min(digest.fleetSize(), LARGEST_SIZE), now);
        return neighbour;
    }

    /**
     * Takes word of a gateway, from itself or from another one.
     *
     * @param member the gateway
     * @param now the time in nanoseconds
     */
    private void learn(Member member, long now) {
        boolean other = !member.name().equals(self.name());
        if (other && all.size() < LARGEST_SIZE && !all.containsKey(member.name())) {
            Neighbour neighbour = new Neighbour(member, now);
            all.put(member.name(), neighbour);
            nearCount += near(neighbour) ? 1 : 0;
        }
    }

    /**
     * Notes a size of the fleet.
     *
     * @param size the number of gateways
     * @param now the time in nanoseconds
     */
    private void noteSize(int size, long now) {
        if (size >= largestSize || now - largestSizeAt > SIZE_NANOSECONDS) {
            largestSize = size;
            largestSizeAt = now;
        }
    }

    /**
     * Forgets gateways that have been silent for long.
     *
     * @param now the time in nanoseconds
     */
    void forget(long now) {
        all.values().removeIf(neighbour -> neighbour.silence(now) > FORGET_NANOSECONDS);
        nearCount = (int) all.values().stream().filter(this::near).count();
        noteSize(count(now), now);
    }

    /**
     * Returns the number of live gateways, with those of other data centres that only their neighbours hear.
     *
     * @param now the time in nanoseconds
     * @return the number, this gateway included
     */
    private int count(long now) {
        Map<String, Integer> heard = new TreeMap<>();
        Map<String, Integer> told = new TreeMap<>();
        for (Neighbour neighbour : live(now)) {
            String dataCentre = neighbour.member().dataCentre();
            heard.merge(dataCentre, 1, Integer::sum);
            told.merge(dataCentre, Math.min(neighbour.latest().dataCentreSize(), LARGEST_SIZE), Math::max);
        }
        heard.merge(self.dataCentre(), 1, Integer::sum);
        int sum = 0;
        for (Map.Entry<String, Integer> entry : heard.entrySet()) {
            sum += Math.max(entry.getValue(), told.getOrDefault(entry.getKey(), 0));
        }
        return Math.min(sum, LARGEST_SIZE);
    }

    /**
     * Returns the number of live gateways of this data centre.
     *
     * @param now the time in nanoseconds
     * @return the number, this gateway included
     */
    int dataCentreSize(long now) {
        return liveNear(now).size() + 1;
    }

    /**
     * Returns whether a gateway is live.
     *
     * @param neighbour the gateway
     * @param now the time in nanoseconds
     * @return {@code true} if it was heard recently and is not stopping
     */
    boolean live(Neighbour neighbour, long now) {
        long longest = near(neighbour) ? nearSilence() : FAR_SILENCE_NANOSECONDS;
        return neighbour.latest() != null && !neighbour.latest().stopping() && neighbour.silence(now) < longest;
    }

    /**
     * Returns the time between two digests to the gateways of the same data centre while there is something to tell.
     *
     * @return the time in nanoseconds
     */
    public long nearPauseNanoseconds() {
        return DigestSchedule.nearPause(nearCount);
    }

    /**
     * Returns the time after which a silent gateway of the same data centre is not live.
     *
     * @return the time in nanoseconds, longer where many gateways tell each other less often
     */
    private long nearSilence() {
        return Math.max(NEAR_SILENCE_NANOSECONDS, MISSED_DIGESTS * nearPauseNanoseconds());
    }

    /**
     * Returns the number of other gateways of the same data centre that are remembered.
     *
     * @return the number
     */
    int near() {
        return nearCount;
    }

    /**
     * Returns whether a gateway stands in the same data centre as this one.
     *
     * @param neighbour the gateway
     * @return {@code true} if it does
     */
    boolean near(Neighbour neighbour) {
        return neighbour.member().dataCentre().equals(self.dataCentre());
    }

    /**
     * Returns the live gateways.
     *
     * @param now the time in nanoseconds
     * @return the gateways in the order of their names
     */
    public List<Neighbour> live(long now) {
        if (now == liveAt && live != null) {
            return live;
        }
        List<Neighbour> found = new ArrayList<>(all.size());
        for (Neighbour neighbour : all.values()) {
            if (live(neighbour, now)) {
                found.add(neighbour);
            }
        }
        liveAt = now;
        live = found;
        return found;
    }

    /**
     * Returns the live gateways of the same data centre.
     *
     * @param now the time in nanoseconds
     * @return the gateways in the order of their names
     */
    List<Neighbour> liveNear(long now) {
        return live(now).stream().filter(this::near).toList();
    }

    /**
     * Returns all gateways that are remembered.
     *
     * @return the gateways in the order of their names
     */
    public Collection<Neighbour> all() {
        return all.values();
    }

    /**
     * Returns the number of gateways that may run at the same time, as far as can be known.
     *
     * @return the largest recent number, this gateway included
     */
    public int size() {
        return largestSize;
    }

    /**
     * Returns this gateway.
     *
     * @return the member
     */
    Member self() {
        return self;
    }
}
