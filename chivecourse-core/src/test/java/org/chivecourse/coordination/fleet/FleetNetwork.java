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
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.protocol.peer.Seal;
import org.chivecourse.state.publication.PublicationTable;
import org.chivecourse.state.publication.PublishedItem;

/** Gateways, a publisher and the links between them, on virtual time. */
final class FleetNetwork {

    static final long MILLISECOND = 1_000_000L;

    private static final long DELAY = MILLISECOND;

    private final PeerCodec codec = new PeerCodec(Seal.Disabled.INSTANCE);

    private final Map<String, HostCore> cores = new LinkedHashMap<>();

    private final Map<String, Integer> lives = new HashMap<>();

    private final Set<String> down = new HashSet<>();

    private final Set<String> cutFromPublisher = new HashSet<>();

    private final Set<String> cutFromOthers = new HashSet<>();

    private final PublicationTable store = new PublicationTable();

    private final List<Watch> watches = new ArrayList<>();

    private final PriorityQueue<Pending> pending = new PriorityQueue<>();

    private final List<String> seeds;

    private final Map<String, List<Decision>> decisions = new HashMap<>();

    private long now = 1_000 * MILLISECOND;

    private long order;

    private boolean publisherDown;

    int publisherCalls;

    FleetNetwork(int hosts) {
        seeds = List.of(address(0), address(1));
        store.replaceAll(List.of(configuration(1, 1)), 1);
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

    /** Starts a gateway, or starts it again with an empty memory. */
    void start(int number) {
        String name = name(number);
        int life = lives.merge(name, 1, Integer::sum);
        FleetSettings fleet =
                new FleetSettings(address(number), seeds, FleetSettings.RetryLimits.DEFAULT, 100 * MILLISECOND);
        HostSettings settings = new HostSettings(
                name,
                "dc-" + number % 3,
                14,
                true,
                life,
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

    void cutFromPublisher(int number, boolean cut) {
        if (cut) {
            cutFromPublisher.add(name(number));
        } else {
            cutFromPublisher.remove(name(number));
        }
    }

    void cutFromOthers(int number, boolean cut) {
        if (cut) {
            cutFromOthers.add(address(number));
        } else {
            cutFromOthers.remove(address(number));
        }
    }

    void publisherDown(boolean isDown) {
        publisherDown = isDown;
        if (isDown) {
            watches.clear();
        }
    }

    /** Publishes an item under the next revision. */
    long publish(PublishedItem item) {
        long revision = store.revision() + 1;
        PublishedItem numbered = new PublishedItem(item.key(), revision, item.value());
        store.applyChanges(List.of(numbered), store.revision(), revision);
        List<Watch> woken = List.copyOf(watches);
        watches.clear();
        woken.forEach(watch -> answer(watch));
        return revision;
    }

    private void answer(Watch watch) {
        if (publisherDown || cutFromPublisher.contains(watch.host)) {
            return;
        }
        later(
                watch.host,
                watch.life,
                new Event.PublicationChanged(
                        watch.call, store.changesAfter(watch.after), watch.after, store.revision()));
    }

    private void later(String host, int life, Event event) {
        pending.add(new Pending(now + DELAY, ++order, host, life, event));
    }

    void pass(long milliseconds) {
        long end = now + milliseconds * MILLISECOND;
        while (now < end) {
            now += 10 * MILLISECOND;
            while (!pending.isEmpty() && pending.peek().at <= now) {
                Pending next = pending.poll();
                if (cores.containsKey(next.host) && lives.get(next.host) == next.life) {
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
        List<Decision> made = new ArrayList<>();
        cores.get(host).handle(event, now, made::add);
        decisions.computeIfAbsent(host, key -> new ArrayList<>()).addAll(made);
        made.forEach(decision -> perform(host, decision));
        return made;
    }

    private void perform(String host, Decision decision) {
        int life = lives.get(host);
        if (decision instanceof Decision.SendFleetDigest tell) {
            tell.addresses().forEach(address -> tell(host, address, tell));
        } else if (decision instanceof Decision.PullPublication pull) {
            pull(host, life, pull);
        } else if (decision instanceof Decision.ListPublication list) {
            publisherCalls++;
            if (!publisherDown && !cutFromPublisher.contains(host)) {
                later(host, life, new Event.PublicationListed(list.call(), store.publishedItems(), store.revision()));
            }
        } else if (decision instanceof Decision.WatchPublication watch) {
            publisherCalls++;
            Watch waiting =
                    new Watch(host, life, watch.call(), watch.after(), now + watch.waitMilliseconds() * MILLISECOND);
            if (!publisherDown && !cutFromPublisher.contains(host)) {
                watches.add(waiting);
            }
        }
    }

    private void tell(String from, String address, Decision.SendFleetDigest tell) {
        String to = hostAt(address);
        String own = tell.digest().sender().address();
        if (to == null || cutFromOthers.contains(address) || cutFromOthers.contains(own)) {
            return;
        }
        try {
            later(to, lives.get(to), codec.read(codec.print(tell.digest(), now), from, now));
        } catch (PeerMessageException exception) {
            throw new AssertionError(exception);
        }
    }

    private void pull(String host, int life, Decision.PullPublication pull) {
        String from = hostAt(pull.address());
        boolean cut = cutFromOthers.contains(pull.address())
                || cutFromOthers.contains(address(Integer.parseInt(host.substring(host.indexOf('-') + 1))));
        if (from == null || cut) {
            return;
        }
        later(
                host,
                life,
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

    /** Counts the gateways that know the published items up to a revision. */
    int knowing(long revision) {
        int count = 0;
        for (HostCore core : cores.values()) {
            count += core.publishedState().revision() >= revision ? 1 : 0;
        }
        return count;
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

    void forgetDecisions() {
        decisions.clear();
    }

    int watching() {
        return watches.size();
    }

    long now() {
        return now;
    }

    private record Watch(String host, int life, long call, long after, long until) {}

    private record Pending(long at, long order, String host, int life, Event event) implements Comparable<Pending> {

        @Override
        public int compareTo(Pending other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
