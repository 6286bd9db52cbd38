package org.chivecourse.coordination.fleet;

/** Links that pass everything within a millisecond, between gateways whose processors take no time. */
enum UnlimitedLinks implements FleetLinks {
    /** The only instance. */
    INSTANCE;

    private static final int DATA_CENTRES = 3;

    @Override
    public int dataCentres() {
        return DATA_CENTRES;
    }

    @Override
    public boolean answersPullsAtOnce() {
        return true;
    }

    @Override
    public boolean ticks(int gateway, long stepEnd) {
        return true;
    }

    @Override
    public long handledAt(long dueAt, long stepEnd) {
        return stepEnd;
    }

    @Override
    public long arrival(FleetMessage message, int recipient, long now) {
        return now + FleetNetwork.NANOSECONDS_PER_MILLISECOND;
    }

    @Override
    public long readyAt(FleetMessage message, int recipient, long arrival) {
        return arrival;
    }
}
