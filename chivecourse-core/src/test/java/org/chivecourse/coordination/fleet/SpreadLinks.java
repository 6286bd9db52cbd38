package org.chivecourse.coordination.fleet;

/**
 * Unlimited links of a fleet that is spread over a number of data centres.
 *
 * @param dataCentres the number of data centres
 */
record SpreadLinks(int dataCentres) implements FleetLinks {

    @Override
    public boolean answersPullsAtOnce() {
        return UnlimitedLinks.INSTANCE.answersPullsAtOnce();
    }

    @Override
    public boolean ticks(int gateway, long stepEnd) {
        return UnlimitedLinks.INSTANCE.ticks(gateway, stepEnd);
    }

    @Override
    public long handledAt(long dueAt, long stepEnd) {
        return UnlimitedLinks.INSTANCE.handledAt(dueAt, stepEnd);
    }

    @Override
    public long arrival(FleetMessage message, int recipient, long now) {
        return UnlimitedLinks.INSTANCE.arrival(message, recipient, now);
    }

    @Override
    public long readyAt(FleetMessage message, int recipient, long arrival) {
        return UnlimitedLinks.INSTANCE.readyAt(message, recipient, arrival);
    }
}
