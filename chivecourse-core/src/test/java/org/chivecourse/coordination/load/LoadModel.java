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
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RegisteredServer;

/** One gateway before backend servers of one service, on virtual time: a load is replayed and each answer is timed. */
final class LoadModel {

    static final long MILLISECOND = 1_000_000L;

    private static final long STEP_MILLISECONDS = 5;

    private static final long PROBE_MILLISECONDS = 100;

    private static final double WORK_MILLISECONDS = 120;

    private static final int SLOTS = 4;

    private final HostCore core;

    private final Map<String, ModelServer> servers = new HashMap<>();

    private final Map<Long, Decision.Send> sends = new HashMap<>();

    private final Map<Long, Long> arrivals = new HashMap<>();

    private final Map<Long, Boolean> orders = new HashMap<>();

    private final SplittableRandom random;

    private long now = 1_000;

    private long calls;

    final Result lookups = new Result();

    final Result bookings = new Result();

    LoadModel(ChoicePolicy policy, int count, long seed) {
        random = new SplittableRandom(seed);
        FleetSettings fleet = new FleetSettings(
                "10.0.0.1:7000", List.of(), new FleetSettings.RepeatLimits(0.2, 56, 10_000 * MILLISECOND), 0);
        HostSettings settings =
                new HostSettings("host-1", "a", 1, true, 1, HostSettings.KeyLimits.DEFAULT, policy, 10_000, fleet);
        core = new HostCore(settings, new SplittableRandom(seed), new Decoder());
        List<PublishedItem> items = new ArrayList<>();
        items.add(new PublishedItem("configuration", 1, new byte[0]));
        for (int number = 0; number < count; number++) {
            servers.put("i" + number, new ModelServer(SLOTS, seed * 100 + number));
            items.add(new PublishedItem("i" + number, 1, new byte[0]));
        }
        handle(new Event.TimePassed());
        handle(new Event.PublicationListed(1, items, 1));
    }

    /** Lets callers come at random with a rate for a time; three in ten send an order. */
    void play(double perSecond, long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            now += STEP_MILLISECONDS;
            work();
            double expected = perSecond * STEP_MILLISECONDS / 1000;
            int arriving = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int count = 0; count < arriving; count++) {
                arrive(random.nextDouble() < 0.3);
            }
            if (now % PROBE_MILLISECONDS == 0) {
                probe();
            }
            handle(new Event.TimePassed());
        }
    }

    private void arrive(boolean order) {
        long call = ++calls;
        arrivals.put(call, now);
        orders.put(call, order);
        result(call).asked++;
        Arrival arrival = new Arrival(
                order ? Method.POST : Method.GET,
                order ? "/orders/1" : "/lookups/1",
                1_000 * MILLISECOND,
                0,
                true,
                "",
                -1,
                call,
                "h");
        handle(new Event.CallArrived(call, arrival));
    }

    private Result result(long call) {
        return orders.get(call) ? bookings : lookups;
    }

    private void probe() {
        servers.forEach((identity, server) ->
                handle(new Event.ProbeEnded(identity, true, server.report(), 0, ProbeFinding.SERVING)));
    }

    private void work() {
        servers.forEach((identity, server) -> {
            for (long attempt : server.work(now, STEP_MILLISECONDS)) {
                handle(new Event.AnswerStarted(attempt, new Event.AnswerHead(200, false, false, server.report())));
            }
        });
    }

    private void handle(Event event) {
        List<Decision> decisions = new ArrayList<>();
        core.handle(event, now * MILLISECOND, decisions::add);
        decisions.forEach(this::perform);
    }

    private void perform(Decision decision) {
        if (decision instanceof Decision.Send send) {
            sends.put(send.attempt(), send);
            handle(new Event.AttemptReady(send.attempt()));
        } else if (decision instanceof Decision.Proceed proceed) {
            Decision.Send send = sends.get(proceed.attempt());
            double work = WORK_MILLISECONDS * (0.6 + 0.8 * random.nextDouble());
            if (!servers.get(send.address()).take(send.attempt(), work)) {
                handle(new Event.AnswerStarted(send.attempt(), new Event.AnswerHead(503, true, false, null)));
            }
        } else if (decision instanceof Decision.Drop drop) {
            servers.get(sends.get(drop.attempt()).address()).drop(drop.attempt());
        } else if (decision instanceof Decision.Deliver deliver) {
            Result result = result(deliver.call());
            long taken = now - arrivals.get(deliver.call());
            result.inTarget += taken <= (orders.get(deliver.call()) ? 400 : 300) ? 1 : 0;
            result.served++;
            handle(new Event.AnswerCompleted(deliver.attempt()));
        }
    }

    /** What callers of one kind got. */
    static final class Result {

        int asked;

        int inTarget;

        int served;

        double inTargetShare() {
            return (double) inTarget / asked;
        }

        double servedShare() {
            return (double) served / asked;
        }
    }

    private final class Decoder implements PublicationDecoder {

        @Override
        public Publication decode(PublishedItem item) {
            if (item.key().startsWith("i")) {
                return new Publication.ForServer(
                        new RegisteredServer(item.key(), 1, 1, "jobs", "10.0.0.9:80", "a", "v1", SLOTS, false, 0));
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
                return new Publication.ForConfiguration(new ConfigurationReader()
                        .read("test", new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8)));
            } catch (Exception exception) {
                throw new AssertionError(exception);
            }
        }
    }
}
