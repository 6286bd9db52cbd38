package org.chivecourse.coordination.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Discovery;
import org.chivecourse.configuration.model.Idempotency;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.FleetSettings;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.protocol.peer.MessageAuthenticator;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.state.publication.PublicationTable;
import org.chivecourse.state.publication.PublishedItem;

/** Simulates gateways, a publisher and the links between them on virtual time. */
final class FleetNetwork {

    static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    private static final long DELIVERY_DELAY_NANOSECONDS = NANOSECONDS_PER_MILLISECOND;

    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private final Map<String, HostCore> cores = new LinkedHashMap<>();

    private final Map<String, Integer> incarnations = new HashMap<>();

    private final Set<String> down = new HashSet<>();

    private final Set<String> disconnectedFromPublisher = new HashSet<>();

    private final Set<String> disconnectedFromPeers = new HashSet<>();

    private final PublicationTable publisherItems = new PublicationTable();

    private final List<Watch> watches = new ArrayList<>();

    private final PriorityQueue<Pending> pending = new PriorityQueue<>();

    private final List<String> seeds;

    private final boolean forwarding;

    private final Map<String, List<Decision>> decisions = new HashMap<>();

    private long now = 1_000 * NANOSECONDS_PER_MILLISECOND;

    private long lastOrder;

    private boolean publisherDown;

    private double digestLoss;

    private final SplittableRandom lossRandom = new SplittableRandom(1);

    private DecisionListener listener = (host, decision) -> {};

    int publisherCalls;

    FleetNetwork(int hosts) {
        this(hosts, false);
    }

    /** Creates a fleet whose gateways forward calls to each other, if that is simulated. */
    FleetNetwork(int hosts, boolean forwarding) {
        this.forwarding = forwarding;
        seeds = List.of(address(0), address(1));
        publisherItems.replaceAll(List.of(configuration(1, 1)), 1);
        for (int number = 0; number < hosts; number++) {
            start(number);
        }
    }

    static String name(int number) {
        return "host-" + number;
    }

    static String address(int number) {
        return "10.0.1." + number + ":7000";
    }

    static PublishedItem configuration(long configurationRevision, long revision) {
        Configuration configuration = Configuration.revision(configurationRevision)
                .service(Service.named("jobs").discovery(Discovery.DEFAULT))
                .callerRoute(CallerRoute.of("lookups", "jobs.example", "/lookups/", "jobs")
                        .idempotency(Idempotency.IDEMPOTENT)
                        .attempts(2))
                .callerRoute(CallerRoute.of("orders", "jobs.example", "/orders/", "jobs")
                        .idempotency(Idempotency.NOT_IDEMPOTENT)
                        .attempts(2));
        String text = new ConfigurationWriter().printUnchecked(configuration);
        return new PublishedItem(TextDecoder.CONFIGURATION, revision, text.getBytes(StandardCharsets.UTF_8));
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
                forwarding ? "10.0.1." + number + ":7100" : "");
        HostSettings settings = new HostSettings(
                name,
                "dc-" + number % 3,
                14,
                true,
                incarnation,
                HostSettings.KeyLimits.DEFAULT,
                ChoicePolicy.EARLIEST_FINISH,
                1000,
                fleet);
        cores.put(name, new HostCore(settings, new SplittableRandom(number), new TextDecoder()));
        down.remove(name);
    }

    void kill(int number) {
        down.add(name(number));
        cores.remove(name(number));
    }

    void setDisconnectedFromPublisher(int number, boolean disconnected) {
        if (disconnected) {
            disconnectedFromPublisher.add(name(number));
        } else {
            disconnectedFromPublisher.remove(name(number));
        }
    }

    void setDisconnectedFromPeers(int number, boolean disconnected) {
        if (disconnected) {
            disconnectedFromPeers.add(address(number));
        } else {
            disconnectedFromPeers.remove(address(number));
        }
    }

    void setPublisherDown(boolean isDown) {
        publisherDown = isDown;
        if (isDown) {
            watches.clear();
        }
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
        pending.add(new Pending(
                now + delayMilliseconds * NANOSECONDS_PER_MILLISECOND,
                ++lastOrder,
                host,
                incarnations.get(host),
                event));
    }

    /** Publishes an item under the next revision and answers all open watches. */
    long publish(PublishedItem item) {
        long revision = publisherItems.revision() + 1;
        PublishedItem numbered = new PublishedItem(item.key(), revision, item.value());
        publisherItems.applyChanges(List.of(numbered), publisherItems.revision(), revision);
        List<Watch> pendingWatches = List.copyOf(watches);
        watches.clear();
        pendingWatches.forEach(watch -> answer(watch));
        return revision;
    }

    private void answer(Watch watch) {
        if (publisherDown || disconnectedFromPublisher.contains(watch.host)) {
            return;
        }
        schedule(
                watch.host,
                watch.incarnation,
                new Event.PublicationChanged(
                        watch.call, publisherItems.changesAfter(watch.after), watch.after, publisherItems.revision()));
    }

    private void schedule(String host, int incarnation, Event event) {
        pending.add(new Pending(now + DELIVERY_DELAY_NANOSECONDS, ++lastOrder, host, incarnation, event));
    }

    /** Advances virtual time in steps of 10 ms, in which due messages are delivered and each gateway handles a tick. */
    void advance(long milliseconds) {
        long end = now + milliseconds * NANOSECONDS_PER_MILLISECOND;
        while (now < end) {
            now += 10 * NANOSECONDS_PER_MILLISECOND;
            while (!pending.isEmpty() && pending.peek().deliverAt <= now) {
                Pending next = pending.poll();
                if (cores.containsKey(next.host) && incarnations.get(next.host) == next.incarnation) {
                    handle(next.host, next.event);
                }
            }
            for (Watch watch : List.copyOf(watches)) {
                if (now >= watch.until) {
                    watches.remove(watch);
                    answer(watch);
                }
            }
            for (String host : List.copyOf(cores.keySet())) {
                handle(host, new Event.TimePassed());
            }
        }
    }

    List<Decision> handle(String host, Event event) {
        List<Decision> newDecisions = new ArrayList<>();
        cores.get(host).handle(event, now, newDecisions::add);
        decisions.computeIfAbsent(host, key -> new ArrayList<>()).addAll(newDecisions);
        newDecisions.forEach(decision -> perform(host, decision));
        return newDecisions;
    }

    private void perform(String host, Decision decision) {
        int incarnation = incarnations.get(host);
        if (decision instanceof Decision.SendFleetDigest send) {
            send.addresses().forEach(address -> deliver(host, address, send));
        } else if (decision instanceof Decision.PullPublication pull) {
            pull(host, incarnation, pull);
        } else if (decision instanceof Decision.ListPublication list) {
            publisherCalls++;
            if (!publisherDown && !disconnectedFromPublisher.contains(host)) {
                schedule(
                        host,
                        incarnation,
                        new Event.PublicationListed(
                                list.call(), publisherItems.publishedItems(), publisherItems.revision()));
            }
        } else if (decision instanceof Decision.WatchPublication watch) {
            publisherCalls++;
            Watch waiting = new Watch(
                    host,
                    incarnation,
                    watch.call(),
                    watch.after(),
                    now + watch.waitMilliseconds() * NANOSECONDS_PER_MILLISECOND);
            if (!publisherDown && !disconnectedFromPublisher.contains(host)) {
                watches.add(waiting);
            }
        }
        listener.onDecision(host, decision);
    }

    private void deliver(String from, String address, Decision.SendFleetDigest send) {
        String to = hostAt(address);
        String senderAddress = send.digest().sender().address();
        if (to == null || disconnectedFromPeers.contains(address) || disconnectedFromPeers.contains(senderAddress)) {
            return;
        }
        if (digestLoss > 0 && lossRandom.nextDouble() < digestLoss) {
            return;
        }
        try {
            schedule(to, incarnations.get(to), codec.decode(codec.encode(send.digest(), now), from, now));
        } catch (PeerMessageException exception) {
            throw new AssertionError(exception);
        }
    }

    private void pull(String host, int incarnation, Decision.PullPublication pull) {
        String from = hostAt(pull.address());
        boolean disconnected = disconnectedFromPeers.contains(pull.address())
                || disconnectedFromPeers.contains(address(Integer.parseInt(host.substring(host.indexOf('-') + 1))));
        if (from == null || disconnected) {
            return;
        }
        schedule(
                host,
                incarnation,
                new Event.PublicationPulled(
                        pull.name(), cores.get(from).publishedState().changesAfter(pull.after())));
    }

    private String hostAt(String address) {
        for (String host : cores.keySet()) {
            if (address(Integer.parseInt(host.substring(host.indexOf('-') + 1))).equals(address)) {
                return host;
            }
        }
        return null;
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

    int watchCount() {
        return watches.size();
    }

    long now() {
        return now;
    }

    /** Receives the decisions of the gateways. */
    @FunctionalInterface
    interface DecisionListener {

        void onDecision(String host, Decision decision);
    }

    private record Watch(String host, int incarnation, long call, long after, long until) {}

    private record Pending(long deliverAt, long order, String host, int incarnation, Event event)
            implements Comparable<Pending> {

        @Override
        public int compareTo(Pending other) {
            int byTime = Long.compare(deliverAt, other.deliverAt);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
