package org.chivecourse.coordination.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Discovery;
import org.chivecourse.configuration.model.Idempotency;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.FleetSettings;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.protocol.peer.MessageAuthenticator;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.protocol.peer.PeerMessageException;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RegisteredServer;

/**
 * Simulates gateways and the backend servers of one service in virtual time, and counts the answers within their target
 * latency.
 */
final class LoadSimulation {

    static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    private static final long STEP_MILLISECONDS = 5;

    private static final long PROBE_MILLISECONDS = 100;

    private static final long FLEET_TICK_MILLISECONDS = 20;

    private static final int DATA_CENTRES = 3;

    private static final int ADDRESSES_PER_NETWORK = 250;

    /** The worth of a late answer, as a share of its full worth. */
    private static final double LATE_SHARE = 0.1;

    /** The largest share of the time left that a caller waits before it comes back. */
    private static final double LONGEST_PAUSE_SHARE = 1.0 / 3;

    private final LoadProfile profile;

    private final List<HostCore> cores = new ArrayList<>();

    private final Map<String, SimulatedServer> servers = new HashMap<>();

    private final Map<Long, Decision.Send> sendByAttempt = new HashMap<>();

    private final Map<Long, Request> requestByCall = new HashMap<>();

    private final Map<LoadProfile.Kind, Result> results = new LinkedHashMap<>();

    private final TreeMap<Long, List<Request>> returning = new TreeMap<>();

    /** What choices were based on, and how many gateways made the same. */
    final ChoiceStatistics choiceStatistics = new ChoiceStatistics();

    private final Map<String, Integer> numberByAddress = new HashMap<>();

    private final List<Delivery> pendingDeliveries = new ArrayList<>();

    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private final SplittableRandom random;

    private final SplittableRandom patience;

    private long now = 1_000;

    private long calls;

    int probeCount;

    /** The number of digests sent to all recipients. */
    int digests;

    /** The number of requests that a backend server could not queue and never answers. */
    int unanswered;

    /** Creates a simulation of a single gateway, which receives the load of each backend server from the simulation. */
    LoadSimulation(ChoicePolicy policy, int serverCount, long seed) {
        this(policy, LoadProfile.FOUR_SLOTS, 1, serverCount, seed);
    }

    /** Creates a simulation of a fleet, whose gateways probe backend servers and exchange their observations. */
    LoadSimulation(ChoicePolicy policy, LoadProfile profile, int gateways, int serverCount, long seed) {
        this.profile = profile;
        profile.kinds().forEach(kind -> results.put(kind, new Result()));
        random = new SplittableRandom(seed);
        patience = new SplittableRandom(seed + 1);
        List<PublishedItem> items = new ArrayList<>();
        items.add(new PublishedItem("configuration", 1, new byte[0]));
        for (int number = 0; number < serverCount; number++) {
            servers.put("i" + number, new SimulatedServer(profile.slots(), profile.queueLength(), seed * 100 + number));
            items.add(new PublishedItem("i" + number, 1, new byte[0]));
        }
        for (int number = 0; number < gateways; number++) {
            cores.add(createCore(policy, number, gateways, seed));
            numberByAddress.put(address(number), number);
        }
        for (int number = 0; number < gateways; number++) {
            handle(number, new Event.TimePassed());
            handle(number, new Event.PublicationListed(1, items, 1));
        }
        if (gateways > 1) {
            run(0, 1_000);
        }
    }

    private HostCore createCore(ChoicePolicy policy, int number, int gateways, long seed) {
        FleetSettings fleet = new FleetSettings(
                address(number),
                gateways == 1 ? List.of() : List.of(address(0), address(1)),
                new FleetSettings.RetryLimits(0.2, 56, 10_000 * NANOSECONDS_PER_MILLISECOND),
                gateways == 1 ? 0 : PROBE_MILLISECONDS * NANOSECONDS_PER_MILLISECOND);
        HostSettings settings = new HostSettings(
                "host-" + number,
                dataCentre(number),
                gateways,
                true,
                1,
                HostSettings.KeyLimits.DEFAULT,
                policy,
                10_000,
                fleet);
        return new HostCore(settings, new SplittableRandom(seed * 1000 + number), new Decoder(profile));
    }

    private static String address(int number) {
        return "10.0." + number / ADDRESSES_PER_NETWORK + "." + (number % ADDRESSES_PER_NETWORK + 1) + ":7000";
    }

    private static String dataCentre(int number) {
        return "dc-" + number % DATA_CENTRES;
    }

    /** Generates random arrivals at a rate for a time, of kinds drawn by their shares. */
    void run(double requestsPerSecond, long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            now += STEP_MILLISECONDS;
            completeWork();
            deliver();
            double expected = requestsPerSecond * STEP_MILLISECONDS / 1000;
            int arriving = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int count = 0; count < arriving; count++) {
                Request request = drawRequest();
                results.get(request.kind).requested++;
                arrive(request);
            }
            returnCallers();
            if (cores.size() == 1 && now % PROBE_MILLISECONDS == 0) {
                probe();
            }
            tick();
        }
    }

    private void tick() {
        if (cores.size() == 1) {
            handle(0, new Event.TimePassed());
            return;
        }
        for (int number = 0; number < cores.size(); number++) {
            if ((now / STEP_MILLISECONDS + number) % (FLEET_TICK_MILLISECONDS / STEP_MILLISECONDS) == 0) {
                handle(number, new Event.TimePassed());
            }
        }
    }

    private void deliver() {
        List<Delivery> due = List.copyOf(pendingDeliveries);
        pendingDeliveries.clear();
        due.forEach(delivery -> handle(delivery.gateway, delivery.event));
    }

    private Request drawRequest() {
        LoadProfile.Kind kind = drawKind();
        double granted = 1 - profile.impatience() * patience.nextDouble();
        return new Request(kind, now, (long) (granted * kind.deadlineMilliseconds()));
    }

    /** Draws a kind by the shares, the last one first. */
    private LoadProfile.Kind drawKind() {
        double drawn = random.nextDouble();
        for (int index = profile.kinds().size() - 1; index > 0; index--) {
            drawn -= profile.kinds().get(index).share();
            if (drawn < 0) {
                return profile.kinds().get(index);
            }
        }
        return profile.kinds().get(0);
    }

    private void returnCallers() {
        while (!returning.isEmpty() && returning.firstKey() <= now) {
            returning.pollFirstEntry().getValue().forEach(this::arrive);
        }
    }

    private void arrive(Request request) {
        long call = ++calls;
        int gateway = random.nextInt(cores.size());
        requestByCall.put(call, request);
        request.lastArrivedAt = now;
        Arrival arrival = new Arrival(
                request.kind.idempotent() ? Method.GET : Method.POST,
                "/" + request.kind.name() + "/1",
                (request.arrivedAt + request.grantedMilliseconds - now) * NANOSECONDS_PER_MILLISECOND,
                0,
                true,
                "",
                -1,
                call,
                "h");
        handle(gateway, new Event.CallArrived(call, arrival));
    }

    /** Returns the number of requests of all kinds. */
    int requested() {
        return results.values().stream().mapToInt(result -> result.requested).sum();
    }

    /** Returns the results of a kind of requests. */
    Result results(String kind) {
        return results.entrySet().stream()
                .filter(entry -> entry.getKey().name().equals(kind))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the worth of all answers, as a share of the worth that they would have had within their targets. */
    double worthShare() {
        double earned = 0;
        double owed = 0;
        for (Map.Entry<LoadProfile.Kind, Result> entry : results.entrySet()) {
            Result result = entry.getValue();
            earned += entry.getKey().worth()
                    * (result.withinTarget + LATE_SHARE * (result.answered - result.withinTarget));
            owed += entry.getKey().worth() * result.requested;
        }
        return earned / owed;
    }

    /** Lets a caller come back after a refusal, unless it has no retries or no time left. */
    private void refuse(Decision.Refuse refuse) {
        Request request = requestByCall.get(refuse.call());
        Result result = results.get(request.kind);
        long held = now - request.lastArrivedAt;
        result.refusals++;
        result.heldMilliseconds += held;
        long left = request.arrivedAt + request.grantedMilliseconds - now;
        if (request.retries >= profile.retries() || left <= 0) {
            return;
        }
        request.retries++;
        long pause = (long) Math.min(refuse.refusal().retryAfterMilliseconds(), LONGEST_PAUSE_SHARE * left);
        returning
                .computeIfAbsent(now + pause + profile.networkMilliseconds(), at -> new ArrayList<>())
                .add(request);
    }

    private void probe() {
        servers.keySet().forEach(identity -> handle(0, probeResult(identity)));
    }

    private Event probeResult(String identity) {
        return new Event.ProbeEnded(identity, true, servers.get(identity).report(), 0, ProbeFinding.SERVING);
    }

    private void completeWork() {
        servers.forEach((identity, server) -> {
            for (Attempt attempt : server.advance(now, STEP_MILLISECONDS)) {
                handle(
                        attempt.gateway(),
                        new Event.AnswerStarted(
                                attempt.number(), new Event.AnswerHead(200, false, false, server.reportOnAnswer())));
            }
        });
    }

    private void handle(int gateway, Event event) {
        List<Decision> decisions = new ArrayList<>();
        cores.get(gateway).handle(event, now * NANOSECONDS_PER_MILLISECOND, decisions::add);
        decisions.forEach(decision -> perform(gateway, decision));
    }

    private void perform(int gateway, Decision decision) {
        if (decision instanceof Decision.Send send) {
            sendByAttempt.put(key(gateway, send.attempt()), send);
            choiceStatistics.record(gateway, send, now);
            handle(gateway, new Event.AttemptReady(send.attempt()));
        } else if (decision instanceof Decision.Proceed proceed) {
            proceed(gateway, sendByAttempt.get(key(gateway, proceed.attempt())));
        } else if (decision instanceof Decision.Drop drop) {
            Attempt attempt = new Attempt(gateway, drop.attempt());
            servers.get(sendByAttempt.get(key(gateway, drop.attempt())).address())
                    .cancel(attempt);
        } else if (decision instanceof Decision.Deliver deliver) {
            Request request = requestByCall.get(deliver.call());
            Result result = results.get(request.kind);
            long elapsed = now - request.arrivedAt + profile.networkMilliseconds();
            result.withinTarget += elapsed <= request.kind.targetMilliseconds() ? 1 : 0;
            result.answered++;
            handle(gateway, new Event.AnswerCompleted(deliver.attempt()));
        } else if (decision instanceof Decision.Refuse refuse) {
            refuse(refuse);
        } else if (decision instanceof Decision.SendFleetDigest digest) {
            digests += digest.addresses().size();
            digest.addresses().forEach(address -> sendDigest(gateway, address, digest));
        } else if (decision instanceof Decision.Probe probe) {
            probeCount++;
            pendingDeliveries.add(new Delivery(gateway, probeResult(probe.address())));
        }
    }

    private static long key(int gateway, long attempt) {
        return attempt * 1_000 + gateway;
    }

    private void proceed(int gateway, Decision.Send send) {
        LoadProfile.Kind kind = requestByCall.get(send.call()).kind;
        double work = kind.workMilliseconds() * (0.6 + 0.8 * random.nextDouble());
        SimulatedServer server = servers.get(send.address());
        if (server.accept(new Attempt(gateway, send.attempt()), work)) {
            return;
        }
        choiceStatistics.turnedAway++;
        if (profile.silentWhenFull()) {
            unanswered++;
            return;
        }
        handle(
                gateway,
                new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(503, true, false, server.report())));
    }

    private void sendDigest(int from, String address, Decision.SendFleetDigest decision) {
        Integer number = numberByAddress.get(address);
        if (number == null || number == from) {
            return;
        }
        try {
            byte[] message = codec.encode(decision.digest(), now * NANOSECONDS_PER_MILLISECOND);
            pendingDeliveries.add(
                    new Delivery(number, codec.decode(message, "host-" + from, now * NANOSECONDS_PER_MILLISECOND)));
        } catch (PeerMessageException exception) {
            throw new AssertionError(exception);
        }
    }

    /** Returns the number of messages that a gateway sends to others, on average. */
    double messagesPerGateway() {
        return (double) digests / cores.size();
    }

    /** An event that a gateway receives in the next step. */
    private record Delivery(int gateway, Event event) {}

    /** An attempt of a gateway; attempt numbers are only unique per gateway. */
    record Attempt(int gateway, long number) {}

    /** A request of a caller, with all its attempts to get an answer. */
    private static final class Request {

        private final LoadProfile.Kind kind;

        private final long arrivedAt;

        /** The time after its arrival at which the caller gives up. */
        private final long grantedMilliseconds;

        private long lastArrivedAt;

        private int retries;

        private Request(LoadProfile.Kind kind, long arrivedAt, long grantedMilliseconds) {
            this.kind = kind;
            this.arrivedAt = arrivedAt;
            this.grantedMilliseconds = grantedMilliseconds;
        }
    }

    /** The numbers of requests and answers of one kind. */
    static final class Result {

        int requested;

        int withinTarget;

        int answered;

        int refusals;

        /** The time that refused requests were kept before their refusal. */
        long heldMilliseconds;

        double meanHeldMilliseconds() {
            return refusals == 0 ? 0 : (double) heldMilliseconds / refusals;
        }

        double withinTargetShare() {
            return (double) withinTarget / requested;
        }

        double answeredShare() {
            return (double) answered / requested;
        }
    }

    private static final class Decoder implements PublicationDecoder {

        private final LoadProfile profile;

        private Decoder(LoadProfile profile) {
            this.profile = profile;
        }

        @Override
        public Publication decode(PublishedItem item) {
            if (item.key().startsWith("i")) {
                return new Publication.ServerAnnouncement(new RegisteredServer(
                        item.key(),
                        1,
                        1,
                        "jobs",
                        "10.0.0.9:80",
                        dataCentre(item.key().charAt(item.key().length() - 1) - '0'),
                        "v1",
                        profile.slots(),
                        false,
                        0));
            }
            Configuration configuration =
                    Configuration.revision(1).service(Service.named("jobs").discovery(Discovery.DEFAULT));
            for (LoadProfile.Kind kind : profile.kinds()) {
                configuration = configuration.callerRoute(route(kind));
            }
            String text = new ConfigurationWriter().printUnchecked(configuration);
            try {
                return new Publication.PublishedConfiguration(new ConfigurationReader()
                        .read("test", new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8)));
            } catch (Exception exception) {
                throw new AssertionError(exception);
            }
        }

        private static CallerRoute route(LoadProfile.Kind kind) {
            return CallerRoute.of(kind.name(), "h", "/" + kind.name() + "/", "jobs")
                    .idempotency(kind.idempotent() ? Idempotency.IDEMPOTENT : Idempotency.NOT_IDEMPOTENT)
                    .attempts(2)
                    .rank(kind.rank())
                    .times(Duration.ofMillis(kind.timeoutMilliseconds()), Duration.ofMillis(kind.targetMilliseconds()));
        }
    }
}
