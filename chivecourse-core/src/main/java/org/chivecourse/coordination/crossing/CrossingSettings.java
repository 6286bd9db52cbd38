package org.chivecourse.coordination.crossing;

/**
 * The settings of a fleet that keeps calls in their data centre unless leaving pays.
 *
 * @param millisecondsPerKilobyte the time that a caller may wait for each kilobyte that does not cross, in
 *     milliseconds; zero if time alone decides
 */
public record CrossingSettings(double millisecondsPerKilobyte) {

    /** The size of a usual request with its answer, in kilobytes. */
    private static final double USUAL_CALL_KILOBYTES = 1;

    /** The number of nanoseconds in a millisecond. */
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    /** Returns the time for which a call waits for room in its data centre before it leaves, in nanoseconds. */
    public long patienceNanoseconds() {
        return (long) (millisecondsPerKilobyte * USUAL_CALL_KILOBYTES * NANOSECONDS_PER_MILLISECOND);
    }
}
