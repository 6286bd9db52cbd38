package org.chivecourse.coordination.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
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

    private static final double WORK_MILLISECONDS = 120;

    private static final int SLOTS = 4;

    private final List<HostCore> cores = new ArrayList<>();

    private final Map<String, SimulatedServer> servers = new HashMap<>();

    private final Map<Long, Decision.Send> sendByAttempt = new HashMap<>();

    private final Map<Long, Long> arrivalByCall = new HashMap<>();

    private final Map<Long, Boolean> orderByCall = new HashMap<>();

    private final List<Delivery> pendingDeliveries = new ArrayList<>();

    private final PeerCodec codec = new PeerCodec(MessageAuthenticator.Disabled.INSTANCE);

    private final SplittableRandom random;

    private long now = 1_000;

    private long calls;

    final Result lookupResults = new Result();

    final Result orderResults = new Result();

    int probeCount;

    /** Creates a simulation of a single gateway, which receives the load of each backend server from the simulation. */
    LoadSimulation(ChoicePolicy policy, int serverCount, long seed) {
        this(policy, 1, serverCount, seed);
    }

    /** Creates a simulation of a fleet, whose gateways probe backend servers and exchange their observations. */
    LoadSimulation(ChoicePolicy policy, int gateways, int serverCount, long seed) {
        random = new SplittableRandom(seed);
        List<PublishedItem> items = new ArrayList<>();
        items.add(new PublishedItem("configuration", 1, new byte[0]));
        for (int number = 0; number < serverCount; number++) {
            servers.put("i" + number, new SimulatedServer(SLOTS, seed * 100 + number));
            items.add(new PublishedItem("i" + number, 1, new byte[0]));
        }
        for (int number = 0; number < gateways; number++) {
            cores.add(createCore(policy, number, gateways, seed));
        }
        for (int number = 0; number < gateways; number++) {
            handle(number, new Event.TimePassed());
            handle(number, new Event.PublicationListed(1, items, 1));
        }
        if (gateways > 1) {
            run(0, 1_000);
        }
    }

    private static HostCore createCore(ChoicePolicy policy, int number, int gateways, long seed) {
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
        return new HostCore(settings, new SplittableRandom(seed * 1000 + number), new Decoder());
    }

    private static String address(int number) {
        return "10.0.0." + (number + 1) + ":7000";
    }

    private static String dataCentre(int number) {
        return "dc-" + number % DATA_CENTRES;
    }

    /** Generates random arrivals at a rate for a time. On average, three in ten of them are orders. */
    void run(double requestsPerSecond, long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            now += STEP_MILLISECONDS;
            completeWork();
            deliver();
            double expected = requestsPerSecond * STEP_MILLISECONDS / 1000;
            int arriving = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int count = 0; count < arriving; count++) {
                arrive(random.nextDouble() < 0.3);
            }
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

    private void arrive(boolean order) {
        long call = ++calls;
        int gateway = random.nextInt(cores.size());
        arrivalByCall.put(call, now);
        orderByCall.put(call, order);
        resultsOf(call).requested++;
        Arrival arrival = new Arrival(
                order ? Method.POST : Method.GET,
                order ? "/orders/1" : "/lookups/1",
                1_000 * NANOSECONDS_PER_MILLISECOND,
                0,
                true,
                "",
                -1,
                call,
                "h");
        handle(gateway, new Event.CallArrived(call, arrival));
    }

    private Result resultsOf(long call) {
        return orderByCall.get(call) ? orderResults : lookupResults;
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
            handle(gateway, new Event.AttemptReady(send.attempt()));
        } else if (decision instanceof Decision.Proceed proceed) {
            proceed(gateway, sendByAttempt.get(key(gateway, proceed.attempt())));
        } else if (decision instanceof Decision.Drop drop) {
            Attempt attempt = new Attempt(gateway, drop.attempt());
            servers.get(sendByAttempt.get(key(gateway, drop.attempt())).address())
                    .cancel(attempt);
        } else if (decision instanceof Decision.Deliver deliver) {
            Result result = resultsOf(deliver.call());
            long elapsed = now - arrivalByCall.get(deliver.call());
            result.withinTarget += elapsed <= (orderByCall.get(deliver.call()) ? 400 : 300) ? 1 : 0;
            result.answered++;
            handle(gateway, new Event.AnswerCompleted(deliver.attempt()));
        } else if (decision instanceof Decision.SendFleetDigest digest) {
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
        double work = WORK_MILLISECONDS * (0.6 + 0.8 * random.nextDouble());
        SimulatedServer server = servers.get(send.address());
        if (!server.accept(new Attempt(gateway, send.attempt()), work)) {
            handle(
                    gateway,
                    new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(503, true, false, server.report())));
        }
    }

    private void sendDigest(int from, String address, Decision.SendFleetDigest decision) {
        for (int number = 0; number < cores.size(); number++) {
            if (number != from && address(number).equals(address)) {
                try {
                    byte[] message = codec.encode(decision.digest(), now * NANOSECONDS_PER_MILLISECOND);
                    pendingDeliveries.add(new Delivery(
                            number, codec.decode(message, "host-" + from, now * NANOSECONDS_PER_MILLISECOND)));
                } catch (PeerMessageException exception) {
                    throw new AssertionError(exception);
                }
            }
        }
    }

    /** An event that a gateway receives in the next step. */
    private record Delivery(int gateway, Event event) {}

    /** An attempt of a gateway; attempt numbers are only unique per gateway. */
    record Attempt(int gateway, long number) {}

    /** The numbers of requests and answers of one kind, lookups or orders. */
    static final class Result {

        int requested;

        int withinTarget;

        int answered;

        double withinTargetShare() {
            return (double) withinTarget / requested;
        }

        double answeredShare() {
            return (double) answered / requested;
        }
    }

    private static final class Decoder implements PublicationDecoder {

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
                        SLOTS,
                        false,
                        0));
            }
            Configuration configuration = Configuration.revision(1)
                    .service(Service.named("jobs").discovery(Discovery.DEFAULT))
                    .callerRoute(CallerRoute.of("lookups", "h", "/lookups/", "jobs")
                            .idempotency(Idempotency.IDEMPOTENT)
                            .attempts(2)
                            .rank(2)
                            .times(Duration.ofMillis(1000), Duration.ofMillis(300)))
                    .callerRoute(CallerRoute.of("orders", "h", "/orders/", "jobs")
                            .idempotency(Idempotency.NOT_IDEMPOTENT)
                            .attempts(2)
                            .rank(1)
                            .times(Duration.ofMillis(1000), Duration.ofMillis(400)));
            String text = new ConfigurationWriter().printUnchecked(configuration);
            try {
                return new Publication.PublishedConfiguration(new ConfigurationReader()
                        .read("test", new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8)));
            } catch (Exception exception) {
                throw new AssertionError(exception);
            }
        }
    }
}
