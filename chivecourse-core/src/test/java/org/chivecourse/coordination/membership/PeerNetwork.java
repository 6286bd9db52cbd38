package org.chivecourse.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.CoreHarness;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.protocol.peer.MessageAuthenticator;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.state.peer.ListedHost;

/**
 * Simulates several hosts on virtual time, with random message delays. Tests can cause message loss, partitions, pauses
 * and restarts.
 */
public final class PeerNetwork {

    public static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private static final long TICK_NANOSECONDS = 5 * NANOSECONDS_PER_MILLISECOND;

    private static final long MAXIMUM_DELAY_NANOSECONDS = 3 * NANOSECONDS_PER_MILLISECOND;

    private final SplittableRandom random;

    private final Map<String, HostCore> cores = new LinkedHashMap<>();

    private final Map<String, Long> sentBytes = new LinkedHashMap<>();

    private final Map<String, Long> highestRevisions = new LinkedHashMap<>();

    private final Set<String> paused = new HashSet<>();

    private final List<ListedHost> hosts = new ArrayList<>();

    private final PriorityQueue<Message> messages = new PriorityQueue<>(Comparator.comparingLong(Message::deliverAt));

    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private BiPredicate<String, String> connected = (from, to) -> true;

    private final HostSettings.KeyLimits keys;

    private BiConsumer<String, Decision> observer = (name, decision) -> {};

    private double lossShare;

    private long incarnations;

    private long now = 1_000_000 * NANOSECONDS_PER_MILLISECOND;

    private record Message(long deliverAt, String from, String to, Event event) {}

    public PeerNetwork(int size, long seed) {
        this(size, seed, HostSettings.KeyLimits.DEFAULT);
    }

    public PeerNetwork(int size, long seed, HostSettings.KeyLimits keys) {
        this.keys = keys;
        random = new SplittableRandom(seed);
        for (int index = 0; index < size; index++) {
            String name = "host-" + index;
            hosts.add(new ListedHost(name, name, "si-" + (char) ('a' + index % 3), false));
        }
        hosts.forEach(host -> start(host.name()));
    }

    /** Starts a host with empty memory, in place of the one that ran under its name. */
    public void start(String name) {
        ListedHost host = host(name);
        HostSettings settings = new HostSettings(
                name, host.dataCentre(), hosts.size(), true, ++incarnations, keys, ChoicePolicy.LEAST_ESTIMATE, 1000);
        cores.put(name, new HostCore(settings, random.split()));
        highestRevisions.put(name, 0L);
        deliver(name, new Event.HostsRead(hosts));
    }

    private ListedHost host(String name) {
        return hosts.stream()
                .filter(host -> host.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    public HostCore core(String name) {
        return cores.get(name);
    }

    public Set<String> names() {
        return cores.keySet();
    }

    /** Sets the receiver of decisions that are not addressed to another host. */
    public void observeDecisions(BiConsumer<String, Decision> decisionObserver) {
        observer = decisionObserver;
    }

    public void setLossShare(double share) {
        lossShare = share;
    }

    public void setConnectivity(BiPredicate<String, String> pairs) {
        connected = pairs;
    }

    public void pause(String name) {
        paused.add(name);
    }

    public void resume(String name) {
        paused.remove(name);
    }

    public long now() {
        return now;
    }

    static LoadedConfiguration configuration(long revision, Service service) {
        String text = new ConfigurationWriter()
                .printUnchecked(Configuration.revision(revision).service(service));
        try {
            return new ConfigurationReader().read("test", text);
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    public static LoadedConfiguration configuration(long revision) {
        return configuration(revision, CoreHarness.jobsService(3));
    }

    public void readConfiguration(String name, LoadedConfiguration configuration) {
        deliver(name, new Event.ConfigurationRead(configuration, "service"));
    }

    /** Passes an event to a host, performs its decisions and fails if its configuration revision decreases. */
    public void deliver(String name, Event event) {
        List<Decision> decisions = new ArrayList<>();
        cores.get(name).handle(event, now, decisions::add);
        decisions.forEach(decision -> perform(name, decision));
        long revision = cores.get(name).configurations().revision();
        if (revision < highestRevisions.get(name)) {
            throw new AssertionError(
                    name + " reverted from revision " + highestRevisions.get(name) + " to " + revision);
        }
        highestRevisions.put(name, revision);
    }

    private void perform(String from, Decision decision) {
        if (decision instanceof Decision.SendDigest send) {
            sentBytes.merge(from, (long) codec.encode(send.digest()).length, Long::sum);
            send(from, send.address(), new Event.DigestArrived(send.digest()));
        } else if (decision instanceof Decision.PullConfiguration pull) {
            pull(from, pull);
        } else if (decision instanceof Decision.AskKey ask) {
            ask.addresses().forEach(to -> send(from, to, new Event.KeyAsked(ask.question(), from)));
        } else if (decision instanceof Decision.ReplyKey reply) {
            send(from, reply.address(), new Event.KeyReplied(reply.reply()));
        } else {
            observer.accept(from, decision);
        }
    }

    private void pull(String from, Decision.PullConfiguration pull) {
        HostCore peer = cores.get(pull.name());
        boolean reachable = connected.test(from, pull.name()) && !paused.contains(pull.name());
        LoadedConfiguration current = peer.configurations().current().orElse(null);
        if (reachable && current != null && current.printed().digest().equals(pull.digest())) {
            enqueue(pull.name(), from, new Event.ConfigurationRead(current, pull.name()));
        } else {
            enqueue(from, from, new Event.PullFailed(pull.name(), "not available"));
        }
    }

    private void send(String from, String to, Event event) {
        if (random.nextDouble() >= lossShare && connected.test(from, to)) {
            enqueue(from, to, event);
        }
    }

    private void enqueue(String from, String to, Event event) {
        messages.add(new Message(now + 1 + random.nextLong(MAXIMUM_DELAY_NANOSECONDS), from, to, event));
    }

    /**
     * Advances virtual time. A paused host handles no ticks and loses the messages that are due, as its datagram buffer
     * would overflow.
     */
    public void advance(long milliseconds) {
        long end = now + milliseconds * NANOSECONDS_PER_MILLISECOND;
        while (now < end) {
            now += TICK_NANOSECONDS;
            while (!messages.isEmpty() && messages.peek().deliverAt() <= now) {
                Message message = messages.poll();
                if (!paused.contains(message.to())) {
                    deliver(message.to(), message.event());
                }
            }
            for (String name : List.copyOf(cores.keySet())) {
                if (!paused.contains(name)) {
                    deliver(name, new Event.TimePassed());
                }
            }
        }
    }

    boolean allHaveRevision(long revision) {
        return cores.values().stream().allMatch(core -> core.configurations().revision() == revision);
    }

    Set<String> configurationDigests() {
        Set<String> digests = new HashSet<>();
        cores.values().forEach(core -> digests.add(core.configurations().digest()));
        return digests;
    }

    /** Returns the largest number of digest bytes that any host has sent. */
    long maximumSentBytes() {
        return sentBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    void clearSentBytes() {
        sentBytes.clear();
    }
}
