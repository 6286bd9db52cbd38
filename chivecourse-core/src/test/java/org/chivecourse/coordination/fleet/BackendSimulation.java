package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.crossing.CrossingSettings;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.measure.ProbeFinding;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RequestLimit;

/**
 * Simulates backend servers behind a fleet of gateways on virtual time, and callers that do not come back. Backend
 * servers may state request limits, and gateways may lose their links to backend servers.
 */
final class BackendSimulation {

    /** The time after the first statement of a limit from which requests are counted, as the platform states. */
    private static final long ADAPTATION_MILLISECONDS = 3000;

    /** The time after which a gateway that forwarded a statement has to heed it, as the platform states. */
    private static final long NOTICE_MILLISECONDS = 500;

    /** The time for which a gateway must have been undisturbed for its requests to count, as the platform states. */
    private static final long UNDISTURBED_MILLISECONDS = 3000;

    /** The time within which a request that cannot be served is refused: an eighth of the lowest target latency. */
    private static final long PROMPT_MILLISECONDS = 300 / 8;

    /** The time after which a gateway must send no request to a server that said it leaves, as the platform states. */
    private static final long DRAIN_MILLISECONDS = 2000;

    private static final long TIMEOUT_MILLISECONDS = 1000;

    private static final long STEP_MILLISECONDS = 10;

    /** The findings about a request by which a gateway takes a backend server for ended. */
    private static final Set<String> FINDINGS_OF_ENDS = Set.of("counted", "excused", "blocked");

    /** The share of requests that get a connection which is already open. */
    private static final double OPEN_CONNECTION_SHARE = 0.5;

    private final FleetNetwork network;

    private final int gateways;

    private final SplittableRandom random;

    private final Map<String, SimulatedBackendServer> servers = new LinkedHashMap<>();

    private final Map<String, String> dataCentres = new HashMap<>();

    private final Map<HostNumber, Decision.Send> sends = new HashMap<>();

    private final Map<HostNumber, Long> arrivals = new HashMap<>();

    private final Map<HostNumber, Arrival> arrivalOf = new HashMap<>();

    private final SimulatedForwarding forwarding;

    private final Map<String, Long> disturbedUntil = new HashMap<>();

    private final SimulatedTimers timers = new SimulatedTimers();

    private final Map<String, LinkLoss> lostLinks = new HashMap<>();

    private final Map<Decision.Subject, Integer> changes = new EnumMap<>(Decision.Subject.class);

    private final Map<String, CallerOutcomes> outcomes = new HashMap<>();

    private long nextCall = 1;

    private int serversTakenForEnded;

    /** The number of requests that arrive per second at all gateways together. */
    double requestsPerSecond = 95;

    /** The share of requests that arrive at the first three gateways, one of each data centre, instead of at any. */
    double skewedShare;

    /** The share of requests that backend servers answer with status 500. */
    double errorShare;

    /** The number of requests that were delivered. */
    int delivered;

    /** The number of requests that were refused without having been sent. */
    int refusedUnsent;

    /** The number of those that were refused later than allowed. */
    int refusedLate;

    /** The number of requests that backend servers got from gateways of other data centres. */
    int crossed;

    BackendSimulation(int gateways, int serverCount, long seed) {
        this(gateways, serverCount, seed, null);
    }

    /** Creates a simulation whose gateways keep calls in their data centre if the settings say how. */
    BackendSimulation(int gateways, int serverCount, long seed, CrossingSettings crossing) {
        this.gateways = gateways;
        random = new SplittableRandom(seed);
        network = new FleetNetwork(gateways, crossing);
        forwarding = new SimulatedForwarding(network);
        network.setListener(this::perform);
        for (int number = 0; number < serverCount; number++) {
            startServer("i" + number, "dc-" + number % 3);
        }
        network.publish(SimulatedRoutes.configuration(TIMEOUT_MILLISECONDS));
        advance(2000, false, elapsed -> {});
    }

    FleetNetwork network() {
        return network;
    }

    /** Starts a backend server. */
    void startServer(String identity, String dataCentre) {
        servers.put(identity, new SimulatedBackendServer());
        dataCentres.put(identity, dataCentre);
        network.publish(TextDecoder.server(identity, 0, "ready", dataCentre));
    }

    /** Lets the announcement of a backend server lapse, though it goes on running, or return with a state. */
    void announce(String identity, String dataCentre, String state) {
        boolean lapsed = state == null;
        network.publish(
                lapsed
                        ? new PublishedItem("server " + identity, 0, null)
                        : TextDecoder.server(identity, 0, state, dataCentre));
    }

    /** Lets a new process of a backend server start under its identity. */
    void startAgain(String identity, String dataCentre) {
        servers.get(identity).toldLeavingAt.clear();
        network.publish(TextDecoder.server(identity, 0, "ready", dataCentre, network.now()));
    }

    /** Returns what backend servers say of themselves. */
    SimulatedStatements statements() {
        return new SimulatedStatements(servers);
    }

    /** Returns the time of the simulation. */
    long now() {
        return milliseconds();
    }

    /** Lets a backend server state a limit from now on, or that it has none. */
    void limit(String identity, RequestLimit limit) {
        servers.get(identity).limit = limit;
        servers.get(identity).limitedSince = milliseconds();
    }

    /** Lets all backend servers state a limit from now on. */
    void limitAll(double requestsPerSecondOfEach) {
        servers.keySet().forEach(identity -> limit(identity, new RequestLimit(requestsPerSecondOfEach)));
    }

    /** Runs traffic for a time. */
    void run(long milliseconds, LongConsumer disruption) {
        advance(milliseconds, true, disruption);
    }

    private void advance(long milliseconds, boolean traffic, LongConsumer disruption) {
        for (long elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
            timers.run(milliseconds());
            disruption.accept(elapsed);
            double expected = traffic ? requestsPerSecond * STEP_MILLISECONDS / 1000 : 0;
            while (random.nextDouble() < expected) {
                expected--;
                arrive();
            }
            network.advance(STEP_MILLISECONDS);
        }
    }

    private void arrive() {
        boolean skewed = random.nextDouble() < skewedShare;
        String host = FleetNetwork.name(random.nextInt(skewed ? Math.min(3, gateways) : gateways));
        if (!network.isRunning(host)) {
            return;
        }
        boolean lookup = random.nextDouble() < 0.7;
        long call = nextCall++;
        arrivals.put(new HostNumber(host, call), milliseconds());
        outcomes.computeIfAbsent(host, key -> new CallerOutcomes()).arrived++;
        Arrival arrival = new Arrival(
                lookup ? Method.GET : Method.POST,
                lookup ? "/lookups/1" : "/orders/1",
                TIMEOUT_MILLISECONDS * FleetNetwork.NANOSECONDS_PER_MILLISECOND,
                0,
                true,
                "",
                -1,
                call,
                "jobs.example");
        arrivalOf.put(new HostNumber(host, call), arrival);
        network.handle(host, new Event.CallArrived(call, arrival));
    }

    /** Restarts a gateway. */
    void restart(int number) {
        network.kill(number);
        network.start(number);
        String host = FleetNetwork.name(number);
        forwarding.forget(host);
        servers.values().forEach(server -> {
            server.toldAt.remove(host);
            server.toldLeavingAt.remove(host);
            server.rests.removeIf(rest -> rest.isOf(host));
        });
        disturbedUntil.put(host, milliseconds() + UNDISTURBED_MILLISECONDS);
    }

    /** Stops a gateway for good. */
    void kill(int number) {
        network.kill(number);
    }

    /** Cuts a gateway off from all others, or reconnects it. */
    void setCutOff(int number, boolean cutOff) {
        network.setDisconnectedFromPeers(number, cutOff);
        disturbedUntil.put(
                FleetNetwork.name(number), cutOff ? Long.MAX_VALUE : milliseconds() + UNDISTURBED_MILLISECONDS);
    }

    /** Lets a gateway lose its links to all backend servers, or get them back if {@code null}. */
    void setLinkLoss(int number, LinkLoss loss) {
        String host = FleetNetwork.name(number);
        if (loss == null) {
            lostLinks.remove(host);
            return;
        }
        lostLinks.put(host, loss);
        if (loss == LinkLoss.RESET) {
            servers.values()
                    .forEach(server -> List.copyOf(server.open).stream()
                            .filter(attempt -> attempt.host().equals(host))
                            .forEach(attempt -> reset(server, attempt)));
        }
    }

    /** Returns the number of some gateways that callers may be routed to. */
    int countTakingCallers(IntPredicate chosen) {
        return (int) IntStream.range(0, gateways)
                .filter(chosen)
                .filter(number -> network.core(number).takesCallers(network.now()))
                .count();
    }

    /** Returns the number of changes that the gateways recorded on a subject. */
    int countChanges(Decision.Subject subject) {
        return changes.getOrDefault(subject, 0);
    }

    /** Returns the number of times that a gateway took a backend server for ended while it ran a request. */
    int countServersTakenForEnded() {
        return serversTakenForEnded;
    }

    /** Forgets what has become of the requests so far. */
    void clearOutcomes() {
        outcomes.clear();
    }

    /** Returns what has become of the requests of some gateways that arrived since the last clearing. */
    CallerOutcomes outcomes(IntPredicate chosen) {
        CallerOutcomes sum = new CallerOutcomes();
        for (int number = 0; number < gateways; number++) {
            CallerOutcomes own = outcomes.get(FleetNetwork.name(number));
            if (own != null && chosen.test(number)) {
                sum.arrived += own.arrived;
                sum.served += own.served;
            }
        }
        return sum;
    }

    /** Returns the backend servers that got more than the platform allows in some window, with what they got. */
    List<String> exceeded() {
        List<String> found = new ArrayList<>();
        servers.forEach((identity, server) -> {
            if (server.largestExcess > 0) {
                found.add(identity + " got " + server.largestExcess + " more than allowed at a limit of "
                        + server.limit.text());
            }
        });
        return found;
    }

    /** Returns the number of requests that all backend servers got in the last milliseconds, from any gateway. */
    long countReceived(long lastMilliseconds) {
        return servers.values().stream()
                .flatMap(server -> server.received.stream())
                .filter(request -> request.at() > milliseconds() - lastMilliseconds)
                .count();
    }

    /** Returns the number of requests that the limits of all backend servers together allow within a time. */
    double requestsAllowedTogether(long duration) {
        return servers.values().stream()
                .mapToDouble(server -> server.limit.requestsPerSecond() * duration / 1000)
                .sum();
    }

    /** Returns the number of probes that a backend server has got. */
    int countProbes(String identity) {
        return servers.get(identity).probes;
    }

    private long milliseconds() {
        return network.now() / FleetNetwork.NANOSECONDS_PER_MILLISECOND;
    }

    private void perform(String host, Decision decision) {
        if (decision instanceof Decision.Send send) {
            sends.put(new HostNumber(host, send.attempt()), send);
            connect(host, send);
        } else if (decision instanceof Decision.Proceed proceed) {
            receive(host, sends.get(new HostNumber(host, proceed.attempt())));
        } else if (decision instanceof Decision.Deliver deliver) {
            recordDelivery(host, deliver.call());
            network.scheduleEvent(host, new Event.AnswerCompleted(deliver.attempt()), 1);
            forwarding.deliver(new HostNumber(host, deliver.call()), 200);
            if (sends.get(new HostNumber(host, deliver.attempt())).forwarded()) {
                return;
            }
            SimulatedBackendServer server = servers.get(
                    sends.get(new HostNumber(host, deliver.attempt())).address());
            if (!server.limit.unlimited()) {
                server.toldAt.putIfAbsent(host, milliseconds());
            }
        } else if (decision instanceof Decision.Drop drop) {
            drop(host, sends.get(new HostNumber(host, drop.attempt())));
        } else if (decision instanceof Decision.Probe probe) {
            probe(host, probe);
        } else if (decision instanceof Decision.Refuse refuse) {
            refuse(host, refuse);
        } else if (decision instanceof Decision.Audit audit) {
            changes.merge(audit.change().subject(), 1, Integer::sum);
            boolean ended = audit.change().subject() == Decision.Subject.REQUEST_SUSPECTED
                    && FINDINGS_OF_ENDS.contains(audit.change().to());
            serversTakenForEnded += ended ? 1 : 0;
        }
    }

    private void probe(String host, Decision.Probe probe) {
        LinkLoss loss = lostLinks.get(host);
        if (loss != null) {
            network.scheduleEvent(
                    host,
                    new Event.ProbeEnded(probe.address(), false, null, 0, ProbeFinding.UNREACHABLE),
                    loss.failureMilliseconds());
        } else {
            SimulatedBackendServer server = servers.get(probe.address());
            server.probes++;
            server.countInRests(host, milliseconds());
            Event ended = server.down
                    ? new Event.ProbeEnded(probe.address(), false, null, 0, ProbeFinding.UNREACHABLE)
                    : new Event.ProbeEnded(
                            probe.address(),
                            true,
                            server.report(),
                            2 * FleetNetwork.NANOSECONDS_PER_MILLISECOND,
                            ProbeFinding.SERVING,
                            server.limit,
                            0,
                            server.warmUpNanoseconds(now()));
            network.scheduleEvent(host, ended, 2);
        }
    }

    private void refuse(String host, Decision.Refuse refuse) {
        if (forwarding.isForwarded(new HostNumber(host, refuse.call()))) {
            forwarding.refuse(new HostNumber(host, refuse.call()), refuse.refusal());
        } else if (refuse.refusal().explanation().indexOf("MAY_HAVE_RUN") < 0) {
            long waited = milliseconds() - arrivals.get(new HostNumber(host, refuse.call()));
            refusedUnsent++;
            refusedLate += waited > PROMPT_MILLISECONDS ? 1 : 0;
        }
    }

    private void recordDelivery(String host, long call) {
        if (forwarding.isForwarded(new HostNumber(host, call))) {
            return;
        }
        delivered++;
        CallerOutcomes own = outcomes.get(host);
        if (own != null
                && milliseconds() - arrivals.getOrDefault(new HostNumber(host, call), 0L) <= TIMEOUT_MILLISECONDS) {
            own.served++;
        }
    }

    private void drop(String host, Decision.Send send) {
        HostNumber attempt = new HostNumber(host, send.attempt());
        if (send.forwarded()) {
            forwarding.drop(attempt);
        } else {
            SimulatedBackendServer server = servers.get(send.address());
            server.open.remove(attempt);
            server.forgetUnreadRest(attempt, milliseconds());
        }
    }

    private void connect(String host, Decision.Send send) {
        if (send.forwarded()) {
            network.scheduleEvent(host, new Event.AttemptReady(send.attempt()), 1);
            return;
        }
        if (servers.get(send.address()).down) {
            network.scheduleEvent(host, new Event.AttemptUnsent(send.attempt(), "refused"), 1);
            return;
        }
        LinkLoss loss = lostLinks.get(host);
        boolean open = random.nextDouble() < OPEN_CONNECTION_SHARE;
        if (loss == null || open && loss.keepsOpenConnections()) {
            network.scheduleEvent(host, new Event.AttemptReady(send.attempt()), 1);
            return;
        }
        network.scheduleEvent(
                host, new Event.AttemptUnsent(send.attempt(), "no connection"), loss.failureMilliseconds());
    }

    private void reset(SimulatedBackendServer server, HostNumber attempt) {
        if (server.open.remove(attempt) && network.isRunning(attempt.host())) {
            network.scheduleEvent(attempt.host(), new Event.AttemptBroken(attempt.number(), "reset"), 1);
        }
    }

    private void receive(String host, Decision.Send send) {
        if (send.forwarded()) {
            Arrival original = arrivalOf.get(new HostNumber(host, send.call()));
            HostNumber call = forwarding.forward(host, send, original, nextCall++);
            if (call != null) {
                arrivals.put(call, milliseconds());
            }
            return;
        }
        LinkLoss loss = lostLinks.get(host);
        if (loss == LinkLoss.HANGING) {
            return;
        }
        SimulatedBackendServer server = servers.get(send.address());
        boolean counted = milliseconds() - server.toldAt.getOrDefault(host, Long.MAX_VALUE / 2) >= NOTICE_MILLISECONDS
                && disturbedUntil.getOrDefault(host, 0L) <= milliseconds()
                && milliseconds() - server.limitedSince >= ADAPTATION_MILLISECONDS;
        server.receive(new SimulatedBackendServer.Request(milliseconds(), counted));
        boolean local = HostNumber.dataCentreOf(host).equals(dataCentres.get(send.address()));
        crossed += local ? 0 : 1;
        long arrivedAt = arrivals.get(new HostNumber(host, send.call()));
        boolean toldInTime =
                arrivedAt - server.toldLeavingAt.getOrDefault(host, Long.MAX_VALUE / 2) > DRAIN_MILLISECONDS;
        server.requestsAfterLeaving += toldInTime ? 1 : 0;
        server.countInRests(host, milliseconds());
        if (server.restMilliseconds > 0) {
            turnAway(host, send.attempt(), server);
            return;
        }
        int status = random.nextDouble() < errorShare ? 500 : 200;
        server.running++;
        HostNumber attempt = new HostNumber(host, send.attempt());
        server.open.add(attempt);
        later(60 + random.nextInt(120), () -> {
            server.running--;
            if (!server.open.remove(attempt) || lostLinks.get(host) == LinkLoss.HANGING) {
                return;
            }
            Event.AnswerHead head =
                    new Event.AnswerHead(status, false, server.leaving, server.report(), false, server.limit, 0);
            if (network.isRunning(host)) {
                network.scheduleEvent(host, new Event.AnswerStarted(send.attempt(), head), 1);
                server.recordStatement(host, milliseconds());
            }
        });
    }

    /** Lets a backend server turn a request away and ask for rest. */
    private void turnAway(String host, long attempt, SimulatedBackendServer server) {
        Event.AnswerHead head = server.turnAway(new HostNumber(host, attempt), milliseconds());
        network.scheduleEvent(host, new Event.AnswerStarted(attempt, head), 1);
    }

    private void later(long delayMilliseconds, Runnable action) {
        timers.schedule(milliseconds() + delayMilliseconds, action);
    }
}
