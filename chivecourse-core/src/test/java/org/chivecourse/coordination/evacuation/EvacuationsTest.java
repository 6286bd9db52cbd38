package org.chivecourse.coordination.evacuation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.decision.Outcome;
import org.chivecourse.coordination.decision.Reason;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.CoreHarness;
import org.junit.jupiter.api.Test;

/** Guards against attempts in evacuated data centres, each kind of them, and calls that fail or wait for it. */
class EvacuationsTest {

    private static final EvacuationRequest ITEM =
            new EvacuationRequest(EvacuationOrigin.PUBLISHED_ITEM, "evacuate a", 5, "publisher");

    private final List<Decision> audits = new ArrayList<>();

    private final Evacuations evacuations = new Evacuations();

    private long revision = 1;

    /** Backend servers 10.0.0.1 and 10.0.0.2 are in data centre a, 10.0.0.3 is in b and has more slots. */
    private static Service service() {
        Service service = CoreHarness.jobsService(0);
        for (int number = 1; number <= 3; number++) {
            service = service.backendServer(BackendServer.at("10.0.0." + number + ":80")
                    .in(number < 3 ? "a" : "b")
                    .slots(number < 3 ? 1 : 8));
        }
        return service;
    }

    private final CoreHarness harness = CoreHarness.withService(service());

    private List<Decision> evacuate(String... dataCentres) throws Exception {
        Configuration configuration =
                Configuration.revision(++revision).service(service()).evacuatedDataCentres(List.of(dataCentres));
        String text = new ConfigurationWriter().printUnchecked(configuration);
        return harness.handle(new Event.ConfigurationRead(new ConfigurationReader().read("test", text), "test"));
    }

    /** Starts a lookup and returns its attempt at a backend server of data centre a. */
    private Decision.Send sendToFirstDataCentre() {
        for (int call = 0; call < 6; call++) {
            harness.arrive(Method.GET, "/jobs/lookups/" + call);
            Decision.Send send = harness.onlyDecision(Decision.Send.class);
            if (!send.address().equals("10.0.0.3:80")) {
                return send;
            }
        }
        throw new AssertionError("nothing was sent to data centre a");
    }

    private List<String> addresses(List<Decision> decisions) {
        return decisions.stream()
                .filter(Decision.Send.class::isInstance)
                .map(decision -> ((Decision.Send) decision).address())
                .toList();
    }

    @Test
    void withdrawsAttemptThatConnectsAndSendsCallElsewhere() throws Exception {
        Decision.Send send = sendToFirstDataCentre();
        evacuate("a");
        assertThat(harness.connect(send), equalTo(false));
        assertThat(harness.decisions(Decision.Withdraw.class), hasSize(1));
        assertThat(harness.decisions(Decision.Refuse.class), empty());
        assertThat(harness.core().services().evacuations().withdrawnAttempts(), equalTo(1L));
        assertThat(harness.core().openCalls(), greaterThan(0));
    }

    /** A call that cannot be repeated has not run, so that it goes on as well. */
    @Test
    void withdrawnOrderGoesOnElsewhere() throws Exception {
        evacuate("b");
        harness.arrive(Method.POST, "/jobs/orders");
        Decision.Send send = harness.onlyDecision(Decision.Send.class);
        evacuate("a");
        assertThat(harness.connect(send), equalTo(false));
        assertThat(harness.onlyDecision(Decision.Send.class).address(), equalTo("10.0.0.3:80"));
    }

    @Test
    void requestUnderWayEndsNormally() throws Exception {
        Decision.Send send = sendToFirstDataCentre();
        harness.connect(send);
        evacuate("a");
        harness.answer(send, 200);
        assertThat(harness.decisions(Decision.Deliver.class), hasSize(1));
    }

    @Test
    void retriesAndHedgesGoElsewhere() throws Exception {
        Decision.Send send = sendToFirstDataCentre();
        harness.connect(send);
        evacuate("a");
        assertThat(addresses(harness.refuse(send)), contains("10.0.0.3:80"));
        List<Decision> later = harness.advance(2000);
        assertThat(addresses(later), empty());
    }

    /** A suspected request runs alone at a reserved backend server, which was reserved before the evacuation. */
    @Test
    void suspectedCallGoesElsewhere() throws Exception {
        Decision.Send first = sendToFirstDataCentre();
        harness.connect(first);
        harness.breakConnection(first);
        Decision.Send alone = harness.onlyDecision(Decision.Send.class);
        assertThat(alone.basis().purpose(), equalTo("alone"));
        assertThat(alone.address(), startsWith("10.0.0."));
        assertThat(alone.address(), not(equalTo("10.0.0.3:80")));
        evacuate("a");
        assertThat(harness.connect(alone), equalTo(false));
        assertThat(addresses(harness.advance(1000)), everyItem(equalTo("10.0.0.3:80")));
    }

    @Test
    void refusesAtOnceIfNoDataCentreIsLeft() throws Exception {
        evacuate("a", "b");
        harness.arrive(Method.GET, "/jobs/lookups/1");
        Decision.Refusal refusal = harness.onlyDecision(Decision.Refuse.class).refusal();
        assertThat(refusal.reason(), equalTo(Reason.EVACUATED));
        assertThat(refusal.outcome(), equalTo(Outcome.NOT_RUN));
        assertThat(refusal.retryAfterMilliseconds(), greaterThan(0L));
        assertThat(harness.core().services().evacuations().refusedCalls(), equalTo(1L));
    }

    @Test
    void decidesAnewAboutWaitingCallsAtOnce() throws Exception {
        for (int call = 0; call < 12; call++) {
            harness.arrive(Method.GET, "/jobs/lookups/" + call);
        }
        int waiting = harness.core().services().service("jobs").waitingCalls().size();
        assertThat(waiting, greaterThan(0));
        evacuate("a", "b");
        assertThat(harness.decisions(Decision.Refuse.class), hasSize(waiting));
        evacuate("a");
        harness.arrive(Method.GET, "/jobs/lookups/1");
        assertThat(harness.decisions(Decision.Refuse.class), empty());
    }

    /** A later refusal names a later time, since an evacuation that lasts is expected to last on. */
    @Test
    void retryAfterGrowsWithAge() throws Exception {
        evacuate("a", "b");
        harness.advanceWithoutTicks(20_000);
        harness.arrive(Method.GET, "/jobs/lookups/1");
        long milliseconds =
                harness.onlyDecision(Decision.Refuse.class).refusal().retryAfterMilliseconds();
        assertThat(milliseconds, greaterThan(9000L));
    }

    @Test
    void holdsUntilItemAndConfigurationHaveBothEnded() {
        evacuations.request("a", ITEM, 0, audits::add);
        evacuations.configure(List.of("a", "b"), 2, "file", 0, audits::add);
        evacuations.configure(List.of(), 3, "file", 0, audits::add);
        assertThat(evacuations.all(), hasSize(1));
        assertThat(evacuations.takeEnded(), contains("b"));
        assertThat(
                evacuations.withdraw("a", EvacuationOrigin.PUBLISHED_ITEM, "removed", 6, audits::add), equalTo(true));
        assertThat(evacuations.takeEnded(), contains("a"));
        assertThat(evacuations.takeEnded(), empty());
        assertThat(audits, hasSize(6));
    }

    @Test
    void repeatedRequestAndEndOfNoneSayNothing() {
        evacuations.request("a", ITEM, 0, audits::add);
        evacuations.request("a", ITEM, 9, audits::add);
        evacuations.withdraw("b", EvacuationOrigin.PUBLISHED_ITEM, "removed", 6, audits::add);
        assertThat(audits, hasSize(1));
        assertThat(evacuations.all().iterator().next().since(), equalTo(0L));
    }

    @Test
    void saysOnceThatDataCentreIsUnknown() {
        evacuations.request("a", ITEM, 0, audits::add);
        evacuations.auditUnknown(name -> false, 1, audits::add);
        assertThat(audits, hasSize(1));
        evacuations.auditUnknown(name -> false, 2_000_000_000L, audits::add);
        evacuations.auditUnknown(name -> false, 3_000_000_000L, audits::add);
        assertThat(audits, hasSize(2));
        assertThat(((Decision.Audit) audits.get(1)).change().cause(), containsString("check its name"));
    }
}
