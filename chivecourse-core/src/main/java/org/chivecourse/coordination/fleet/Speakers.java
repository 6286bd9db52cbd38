package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides without agreement which gateways of a data centre exchange digests with other data centres, so that the
 * number of such digests does not grow with the square of the number of gateways: the first and the last few in the
 * fixed order, among which are those that watch the publisher and the one that tells what was seen.
 */
enum Speakers {
    /** The only instance. */
    INSTANCE;

    /** The number of gateways that speak as the first in the fixed order. */
    private static final int FIRST = 2;

    /** The number of gateways that speak as the last in the fixed order. */
    private static final int LAST = 3;

    /** The number of gateways of a data centre up to which all of them speak. */
    static final int COUNT = FIRST + LAST;

    /**
     * Returns whether this gateway exchanges digests with other data centres.
     *
     * @param neighbours the other gateways
     * @param now the time in nanoseconds
     * @return {@code true} if few live ones of its data centre go before it, or few come after it
     */
    boolean speaks(Neighbours neighbours, long now) {
        int own = WatchElection.rank(neighbours.self().name());
        int before = 0;
        int after = 0;
        for (Neighbour neighbour : neighbours.live(now)) {
            if (neighbours.near(neighbour)) {
                boolean first = WatchElection.rank(neighbour.member().name()) < own;
                before += first ? 1 : 0;
                after += first ? 0 : 1;
            }
        }
        return before < FIRST || after < LAST;
    }

    /**
     * Returns whether some gateways of this data centre do not speak, so that others have to pass on what they hear.
     *
     * @param neighbours the other gateways
     * @return {@code true} if there are more gateways than speak
     */
    boolean passOn(Neighbours neighbours) {
        return neighbours.near() >= COUNT;
    }

    /**
     * Returns the gateways of other data centres that are told: those that are heard, and where these are few, the
     * others that are worth telling.
     *
     * @param neighbours the other gateways
     * @param now the time in nanoseconds
     * @return the gateways
     */
    List<Neighbour> listeners(Neighbours neighbours, long now) {
        Map<String, List<Neighbour>> heard = new TreeMap<>();
        Map<String, List<Neighbour>> known = new TreeMap<>();
        for (Neighbour neighbour : neighbours.all()) {
            if (neighbours.near(neighbour)) {
                continue;
            }
            String dataCentre = neighbour.member().dataCentre();
            known.computeIfAbsent(dataCentre, key -> new ArrayList<>()).add(neighbour);
            if (neighbours.live(neighbour, now)) {
                heard.computeIfAbsent(dataCentre, key -> new ArrayList<>()).add(neighbour);
            }
        }
        List<Neighbour> told = new ArrayList<>();
        known.forEach((dataCentre, all) -> {
            List<Neighbour> live = heard.getOrDefault(dataCentre, List.of());
            told.addAll(live.size() >= COUNT ? live : all);
        });
        return told;
    }
}
