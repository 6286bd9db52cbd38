package org.chivecourse.coordination.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chivecourse.coordination.decision.Decision;

/** What choices of backend servers were based on, and how many gateways chose the same one at the same time. */
final class ChoiceStatistics {

    /** The time within which choices of the same backend server count as simultaneous. */
    private static final long SIMULTANEOUS_MILLISECONDS = 50;

    private final Map<String, Map<Integer, Long>> lastChoices = new HashMap<>();

    private long choices;

    private long informedChoices;

    private long reportAgeMilliseconds;

    private long otherChoosers;

    /** The number of requests that a full backend server refused or never answered. */
    int turnedAway;

    /** Records that a gateway sends a request to a backend server. */
    void record(int gateway, Decision.Send send, long now) {
        choices++;
        if (send.basis().reportAgeMilliseconds() >= 0) {
            informedChoices++;
            reportAgeMilliseconds += send.basis().reportAgeMilliseconds();
        }
        Map<Integer, Long> choosers = lastChoices.computeIfAbsent(send.address(), address -> new HashMap<>());
        choosers.values().removeIf(chosenAt -> now - chosenAt > SIMULTANEOUS_MILLISECONDS);
        Set<Integer> others = new HashSet<>(choosers.keySet());
        others.remove(gateway);
        otherChoosers += others.size();
        choosers.put(gateway, now);
    }

    @Override
    public String toString() {
        return String.format(
                "%d choices, mean age of reports %.0f ms, %.2f others chose the same within %d ms, %d turned away",
                choices,
                (double) reportAgeMilliseconds / Math.max(1, informedChoices),
                (double) otherChoosers / Math.max(1, choices),
                SIMULTANEOUS_MILLISECONDS,
                turnedAway);
    }
}
