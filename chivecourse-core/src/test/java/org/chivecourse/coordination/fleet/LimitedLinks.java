package org.chivecourse.coordination.fleet;

import java.util.Arrays;

/**
 * Links that messages pass one after the other, and processors that handle them one after the other.
 *
 * <p>A reply starts to arrive while it is still being sent. Datagrams are lost at a link where too many bytes wait.
 */
final class LimitedLinks implements FleetLinks {

    private static final long LONGEST_WAIT_NANOSECONDS = 250_000_000L;

    private static final long STEP_NANOSECONDS = 10_000_000L;

    private static final int STEPS_PER_TICK = 2;

    private static final int PACKET_BYTES = 1400;

    private static final int PACKET_OVERHEAD_BYTES = 54;

    private final FleetLimits limits;

    private final Gateway[] gateways;

    LimitedLinks(FleetLimits limits, int hosts) {
        this.limits = limits;
        gateways = new Gateway[hosts];
        Arrays.setAll(gateways, number -> new Gateway());
    }

    /** Divides the speed of a gateway's processor from now on. */
    void slowDown(int gateway, double factor) {
        gateways[gateway].slowness = factor;
    }

    GatewayTraffic traffic(int gateway) {
        return gateways[gateway].traffic;
    }

    /** Starts to count the traffic of all gateways from zero. */
    void clearTraffic() {
        for (Gateway gateway : gateways) {
            gateway.traffic = new GatewayTraffic();
        }
    }

    @Override
    public int dataCentres() {
        return limits.dataCentres();
    }

    @Override
    public boolean answersPullsAtOnce() {
        return false;
    }

    @Override
    public boolean ticks(int gateway, long stepEnd) {
        return (stepEnd / STEP_NANOSECONDS + gateway) % STEPS_PER_TICK == 0;
    }

    @Override
    public long handledAt(long dueAt, long stepEnd) {
        return dueAt;
    }

    @Override
    public long arrival(FleetMessage message, int recipient, long now) {
        long delay = limits.delay(message.sender(), recipient);
        if (message.sender() == PUBLISHER) {
            return now + delay;
        }
        Gateway sender = gateways[message.sender()];
        sender.traffic.countSent(message.kind(), bytesOnLink(message));
        long sendingWork = sender.work(message.sender(), limits.costs().sent());
        sender.processorFreeAt = Math.max(sender.processorFreeAt, now) + sendingWork;
        sender.sendsUntil = Math.max(sender.sendsUntil, now) + sendingWork;
        long linkFreeAt = Math.max(sender.outgoingFreeAt, sender.sendsUntil);
        if (message.kind().isDatagram() && linkFreeAt - sender.sendsUntil > LONGEST_WAIT_NANOSECONDS) {
            sender.traffic.countLost();
            return LOST;
        }
        sender.outgoingFreeAt = linkFreeAt + limits.sendingTime(message.sender(), bytesOnLink(message));
        int journeys = message.kind() == FleetMessage.Kind.PULL_REQUEST ? 3 : 1;
        return sender.outgoingFreeAt + journeys * delay;
    }

    @Override
    public long readyAt(FleetMessage message, int recipient, long arrival) {
        Gateway gateway = gateways[recipient];
        if (message.kind() == FleetMessage.Kind.TICK) {
            return gateway.process(message, recipient, arrival);
        }
        long firstByteAt = message.sender() == PUBLISHER
                ? arrival
                : arrival - limits.sendingTime(message.sender(), bytesOnLink(message));
        if (message.kind().isDatagram() && gateway.incomingFreeAt - arrival > LONGEST_WAIT_NANOSECONDS) {
            gateway.traffic.countLost();
            return LOST;
        }
        gateway.incomingFreeAt = Math.max(
                arrival,
                Math.max(gateway.incomingFreeAt, firstByteAt) + limits.sendingTime(recipient, bytesOnLink(message)));
        gateway.traffic.countReceived(message.kind(), bytesOnLink(message));
        return gateway.process(message, recipient, gateway.incomingFreeAt);
    }

    private static int bytesOnLink(FleetMessage message) {
        return message.bytes() + PACKET_OVERHEAD_BYTES * (1 + message.bytes() / PACKET_BYTES);
    }

    /** The state of a gateway's link and processor. */
    private final class Gateway {

        private long outgoingFreeAt;

        private long incomingFreeAt;

        private long processorFreeAt;

        private long sendsUntil;

        private double slowness = 1;

        private GatewayTraffic traffic = new GatewayTraffic();

        private long work(int number, long wholeCoreNanoseconds) {
            return Math.round(limits.processingTime(number, wholeCoreNanoseconds) * slowness);
        }

        private long process(FleetMessage message, int number, long receivedAt) {
            processorFreeAt = Math.max(processorFreeAt, receivedAt)
                    + work(number, limits.costs().receiving(message));
            return processorFreeAt;
        }
    }
}
