package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.crossing.CrossingSettings;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.FleetSettings;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.coordination.publication.PublishedState;
import org.chivecourse.coordination.reservation.SlotMessage;
import org.chivecourse.protocol.peer.MessageAuthenticator;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.protocol.peer.PublicationCodec;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.PublishedItem;

/** Simulates gateways, a publisher and the links between them on virtual time. */
final class FleetNetwork {

    static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private final Map<String, HostCore> cores = new LinkedHashMap<>();

    private static final long DELIVERY_DELAY_NANOSECONDS = NANOSECONDS_PER_MILLISECOND;

    /** The number of replies to pulls that a gateway sends at the same time. */
    private static final int MAXIMUM_CONCURRENT_REPLIES = 4;

    private static final int BUSY_REPLY_BYTES = 8;

    private static final int GATEWAYS_PER_SUBNET = 250;

    private final Map<String, Integer> repliesInFlight = new HashMap<>();

    private final Map<String, Integer> incarnations = new HashMap<>();

    private final Set<String> down = new HashSet<>();

    private final Set<String> disconnectedFromPeers = new HashSet<>();

    private final SimulatedPublisher publisher;

    private final PriorityQueue<FleetDelivery> pending = new PriorityQueue<>();

    private final List<String> seeds;

    private final boolean forwarding;

    private final CrossingSettings crossing;

    private final FleetLinks links;

    private final PublicationDecoder decoder;

    private final Set<String> waitingTicks = new HashSet<>();

    private final ConfigurationTimes configurationTimes = new ConfigurationTimes();

    private final Map<String, List<Decision>> decisions = new HashMap<>();

    private long now = 1_000 * NANOSECONDS_PER_MILLISECOND;

    private long lastOrder;

    private double digestLoss;

    private final SplittableRandom lossRandom = new SplittableRandom(1);

    private DecisionListener listener = (host, decision) -> {};

    int publisherCalls;

    FleetNetwork(int hosts) {
        this(hosts, false);
    }

    /** Creates a fleet whose gateways forward calls to each other, if that is simulated. */
    FleetNetwork(int hosts, boolean forwarding) {
        this(hosts, forwarding, UnlimitedLinks.INSTANCE, new TextDecoder(), List.of(configuration(1, 1)));
    }

    /** Creates a fleet that forwards calls, and keeps them in their data centre if the settings say how. */
    FleetNetwork(int hosts, CrossingSettings crossing) {
        this(hosts, true, UnlimitedLinks.INSTANCE, new TextDecoder(), List.of(configuration(1, 1)), crossing);
    }

    /** Creates a fleet with its links, and what is published when it starts. */
    FleetNetwork(
            int hosts,
            boolean forwarding,
            FleetLinks links,
            PublicationDecoder decoder,
            List<PublishedItem> published) {
        this(hosts, forwarding, links, decoder, published, null);
    }

    private FleetNetwork(
            int hosts,
            boolean forwarding,
            FleetLinks links,
            PublicationDecoder decoder,
            List<PublishedItem> published,
            CrossingSettings crossing) {
        this.crossing = crossing;
        this.forwarding = forwarding;
        this.links = links;
        this.decoder = decoder;
        seeds = List.of(address(0), address(1));
        publisher = new SimulatedPublisher(
                published,
                (host, incarnation, items, event) ->
                        schedule(publication(items), host, incarnation, () -> handle(host, event)));
        for (int number = 0; number < hosts; number++) {
            start(number);
        }
    }

    static String name(int number) {
        return "host-" + number;
    }

    private static String internetAddress(int number) {
        return "10.0." + (1 + number / GATEWAYS_PER_SUBNET) + "." + number % GATEWAYS_PER_SUBNET;
    }

    /** Returns the number of the gateway at an address. */
    static int numberAt(String address) {
        String[] octets = address.substring(0, address.indexOf(':')).split("\\.");
        return (Integer.parseInt(octets[2]) - 1) * GATEWAYS_PER_SUBNET + Integer.parseInt(octets[3]);
    }

    static String address(int number) {
        return internetAddress(number) + ":7000";
    }

    static PublishedItem configuration(long configurationRevision, long revision) {
        return FleetConfigurations.small(configurationRevision, revision);
    }

    /** Starts a gateway, or restarts it with empty memory under a new incarnation. */
    void start(int number) {
        String name = name(number);
        int incarnation = incarnations.merge(name, 1, Integer::sum);
        FleetSettings fleet = new FleetSettings(
                address(number),
                seeds,
                FleetSettings.RetryLimits.DEFAULT,
                100 * NANOSECONDS_PER_MILLISECOND,
                forwarding ? internetAddress(number) + ":7100" : "",
                crossing);
        HostSettings settings = new HostSettings(
                name,
                "dc-" + number % links.dataCentres(),
                14,
                true,
                incarnation,
                HostSettings.KeyLimits.DEFAULT,
                ChoicePolicy.EARLIEST_FINISH,
                1000,
                fleet);
        cores.put(name, new HostCore(settings, new SplittableRandom(number), decoder));
        down.remove(name);
        waitingTicks.remove(name);
    }

    void kill(int number) {
        down.add(name(number));
        cores.remove(name(number));
    }

    void setDisconnectedFromPublisher(int number, boolean disconnected) {
        publisher.setDisconnected(name(number), disconnected);
    }

    void setDisconnectedFromPeers(int number, boolean disconnected) {
        if (disconnected) {
            disconnectedFromPeers.add(address(number));
        } else {
            disconnectedFromPeers.remove(address(number));
        }
    }

    void setPublisherDown(boolean isDown) {
        publisher.setDown(isDown);
    }

    /** Loses a share of the digests between gateways from now on. */
    void setDigestLoss(double share) {
        digestLoss = share;
    }

    /** Passes all decisions of the gateways to a simulation of what they concern outside the fleet. */
    void setListener(DecisionListener decisionListener) {
        listener = decisionListener;
    }

    /** Delivers an event to a gateway after a delay, unless it is down or restarted by then. */
    void scheduleEvent(String host, Event event, long delayMilliseconds) {
        pending.add(new FleetDelivery(
                now + delayMilliseconds * NANOSECONDS_PER_MILLISECOND,
                ++lastOrder,
                host,
                incarnations.get(host),
                null,
                () -> handle(host, event)));
    }

    /** Publishes an item under the next revision and answers all open watches. */
    long publish(PublishedItem item) {
        return publisher.publish(item);
    }

    /** Returns a copy of what is published now. */
    SimulatedPublisher.Copy copyPublisher() {
        return publisher.copy();
    }

    /** Restores the publisher from a copy, with which a new epoch begins. */
    void restorePublisher(SimulatedPublisher.Copy copy) {
        publisher.restore(copy);
    }

    private static FleetMessage publication(List<PublishedItem> items) {
        int bytes = 0;
        for (PublishedItem item : items) {
            bytes += item.key().length() + (item.removed() ? 0 : item.value().length);
        }
        return new FleetMessage(FleetMessage.Kind.PUBLICATION, FleetLinks.PUBLISHER, bytes);
    }

    private void schedule(FleetMessage message, String host, int incarnation, Runnable action) {
        long arrival = links.arrival(message, number(host), now);
        if (arrival != FleetLinks.LOST) {
            pending.add(new FleetDelivery(arrival, ++lastOrder, host, incarnation, message, action));
        }
    }

    /** Advances virtual time in steps of 10 ms, in which due messages are delivered and each gateway handles a tick. */
    void advance(long milliseconds) {
        long end = now + milliseconds * NANOSECONDS_PER_MILLISECOND;
        while (now < end) {
            long stepEnd = now + 10 * NANOSECONDS_PER_MILLISECOND;
            while (!pending.isEmpty() && pending.peek().dueAt() <= stepEnd) {
                FleetDelivery next = pending.poll();
                now = links.handledAt(next.dueAt(), stepEnd);
                deliver(next);
            }
            now = stepEnd;
            publisher.answerExpired(now);
            for (String host : List.copyOf(cores.keySet())) {
                tick(host);
            }
        }
    }

    private void deliver(FleetDelivery delivery) {
        String host = delivery.host();
        if (!cores.containsKey(host) || incarnations.get(host) != delivery.incarnation()) {
            return;
        }
        long readyAt = delivery.message() == null
                ? delivery.dueAt()
                : links.readyAt(delivery.message(), number(host), delivery.dueAt());
        if (readyAt <= delivery.dueAt()) {
            delivery.action().run();
        } else if (readyAt != FleetLinks.LOST) {
            pending.add(delivery.passed(readyAt, ++lastOrder));
        }
    }

    private void tick(String host) {
        if (!links.ticks(number(host), now) || !waitingTicks.add(host)) {
            return;
        }
        deliver(new FleetDelivery(
                now, ++lastOrder, host, incarnations.get(host), FleetMessage.tick(number(host)), () -> {
                    waitingTicks.remove(host);
                    handle(host, new Event.TimePassed());
                }));
    }

    List<Decision> handle(String host, Event event) {
        List<Decision> newDecisions = new ArrayList<>();
        cores.get(host).handle(event, now, newDecisions::add);
        decisions.computeIfAbsent(host, key -> new ArrayList<>()).addAll(newDecisions);
        configurationTimes.record(
                host, cores.get(host).services().configuration().revision(), now);
        newDecisions.forEach(decision -> perform(host, decision));
        return newDecisions;
    }

    private void perform(String host, Decision decision) {
        int incarnation = incarnations.get(host);
        if (decision instanceof Decision.SendFleetDigest send) {
            send(host, send);
        } else if (SlotMessage.of(decision, codec).isPresent()) {
            send(host, SlotMessage.of(decision, codec).orElseThrow());
        } else if (decision instanceof Decision.PullPublication pull) {
            pull(host, incarnation, pull);
        } else if (decision instanceof Decision.ListPublication list) {
            publisherCalls++;
            publisher.list(host, incarnation, list.call());
        } else if (decision instanceof Decision.WatchPublication watch) {
            publisherCalls++;
            long until = now + watch.waitMilliseconds() * NANOSECONDS_PER_MILLISECOND;
            publisher.watch(new SimulatedPublisher.Watch(host, incarnation, watch.call(), watch.after(), until));
        }
        listener.onDecision(host, decision);
    }

    private void send(String from, Decision.SendFleetDigest send) {
        byte[] datagram = codec.encode(send.digest(), now);
        FleetMessage message = new FleetMessage(FleetMessage.Kind.DIGEST, number(from), datagram.length);
        try {
            // Ages are read when the digest arrives, so that each gateway it passes makes what it tells younger.
            Event event = codec.decode(datagram, from, now + DELIVERY_DELAY_NANOSECONDS);
            for (String address : send.addresses()) {
                send(message, event, send.digest().sender().address(), address);
            }
        } catch (PeerMessageException exception) {
            throw new AssertionError(exception);
        }
    }

    private void send(String from, SlotMessage slotMessage) {
        FleetMessage message = new FleetMessage(FleetMessage.Kind.DIGEST, number(from), slotMessage.datagram().length);
        try {
            Event event = codec.decode(slotMessage.datagram(), address(number(from)), now);
            send(message, event, address(number(from)), slotMessage.address());
        } catch (PeerMessageException exception) {
            throw new AssertionError(exception);
        }
    }

    private void send(FleetMessage message, Event event, String senderAddress, String address) {
        String to = hostAt(address);
        boolean reachable = to != null
                && !disconnectedFromPeers.contains(address)
                && !disconnectedFromPeers.contains(senderAddress);
        boolean lost = reachable && digestLoss > 0 && lossRandom.nextDouble() < digestLoss;
        if (reachable && !lost) {
            schedule(message, to, incarnations.get(to), () -> handle(to, event));
        }
    }

    private void pull(String host, int incarnation, Decision.PullPublication pull) {
        String from = hostAt(pull.address());
        boolean disconnected =
                disconnectedFromPeers.contains(pull.address()) || disconnectedFromPeers.contains(address(number(host)));
        if (from == null || disconnected) {
            return;
        }
        if (links.answersPullsAtOnce()) {
            answerPull(from, host, incarnation, pull);
            return;
        }
        schedule(
                FleetMessage.pullRequest(number(host)),
                from,
                incarnations.get(from),
                () -> answerPull(from, host, incarnation, pull));
    }

    private void answerPull(String from, String host, int incarnation, Decision.PullPublication pull) {
        if (repliesInFlight.merge(from, 1, Integer::sum) > MAXIMUM_CONCURRENT_REPLIES) {
            reply(from, host, incarnation, BUSY_REPLY_BYTES, new Event.PullFailed(pull.name(), "busy"));
            return;
        }
        PublishedState state = cores.get(from).publishedState();
        FleetDigest.Changes changes =
                state.compactChangesAfter(pull.after()).withRetainedConfiguration(state.retainedConfiguration());
        int bytes = CompressedSize.of(PublicationCodec.encode(changes).toByteArray());
        reply(from, host, incarnation, bytes, new Event.PublicationPulled(pull.name(), changes));
    }

    private void reply(String from, String host, int incarnation, int bytes, Event event) {
        FleetMessage message = new FleetMessage(FleetMessage.Kind.PULL_REPLY, number(from), bytes);
        schedule(message, host, incarnation, () -> {
            repliesInFlight.merge(from, -1, Integer::sum);
            handle(host, event);
        });
    }

    private static int number(String host) {
        return Integer.parseInt(host.substring(host.indexOf('-') + 1));
    }

    private String hostAt(String address) {
        String host = address.endsWith(":7000") ? name(numberAt(address)) : "";
        return cores.containsKey(host) ? host : null;
    }

    /** Returns the number of gateways that know the published items up to a revision. */
    int countWithRevision(long revision) {
        int count = 0;
        for (HostCore core : cores.values()) {
            count += core.publishedState().revision() >= revision ? 1 : 0;
        }
        return count;
    }

    boolean isRunning(String host) {
        return cores.containsKey(host);
    }

    HostCore core(int number) {
        return cores.get(name(number));
    }

    Iterable<HostCore> cores() {
        return cores.values();
    }

    List<Decision> decisions(int number) {
        return decisions.getOrDefault(name(number), List.of());
    }

    void clearDecisions() {
        decisions.clear();
    }

    /** Returns the numbers of the gateways that watch the publisher. */
    List<Integer> watchers() {
        return publisher.watchers().stream().map(FleetNetwork::number).toList();
    }

    /** Returns when each gateway came to use each configuration. */
    ConfigurationTimes configurationTimes() {
        return configurationTimes;
    }

    int watchCount() {
        return publisher.watchCount();
    }

    long now() {
        return now;
    }

    /** Receives the decisions of the gateways. */
    @FunctionalInterface
    interface DecisionListener {

        void onDecision(String host, Decision decision);
    }
}
