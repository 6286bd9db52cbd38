package org.chivecourse.transport.driver;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.host.CoreHarness;
import org.chivecourse.coordination.host.HostCore;
import org.chivecourse.coordination.host.HostSettings;
import org.chivecourse.protocol.trace.TraceRecorder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are sent before the configuration that their backend server belongs to has been applied:
 * a call that arrives on another thread while {@code Apply} is performed has to wait for it. Also guards against a
 * decision that fails and takes others with it.
 */
class CoreDriverTest {

    @Test
    void sendsNoCallBeforeConfigurationIsApplied() throws Exception {
        HostSettings settings = new HostSettings("host", "si-a", 1, ChoicePolicy.RANDOM, 10);
        CoreDriver driver =
                new CoreDriver(new HostCore(settings, new SplittableRandom(1)), new TraceRecorder(settings, 1, 0));
        CountDownLatch applyStarted = new CountDownLatch(1);
        CountDownLatch applyAllowed = new CountDownLatch(1);
        List<Decision> performedDecisions = new ArrayList<>();
        driver.setDecisionSink(decision -> {
            if (decision instanceof Decision.Apply) {
                applyStarted.countDown();
                await(applyAllowed);
            }
            synchronized (performedDecisions) {
                performedDecisions.add(decision);
            }
        });
        Thread configurationThread = new Thread(() -> driver.handle(configurationReadEvent()));
        configurationThread.start();
        await(applyStarted);
        Thread callThread =
                new Thread(() -> driver.handle(new Event.CallArrived(1, new Arrival(Method.GET, "/jobs/lookups"))));
        callThread.start();
        callThread.join(100);
        synchronized (performedDecisions) {
            assertThat(
                    performedDecisions.stream()
                            .filter(Decision.Send.class::isInstance)
                            .toList(),
                    empty());
        }
        applyAllowed.countDown();
        callThread.join();
        configurationThread.join();
        assertThat(
                performedDecisions.stream()
                        .filter(Decision.Send.class::isInstance)
                        .toList(),
                hasSize(1));
    }

    /**
     * A decision that fails would take with it the others of its event, among them calls to the publisher, and the
     * failure would reach whoever passed in the event.
     */
    @ParameterizedTest
    @ValueSource(classes = {Decision.Audit.class, Decision.Apply.class, Decision.UseServers.class})
    void performsOtherDecisionsOfEventWhenOneFails(Class<? extends Decision> failing) {
        HostSettings settings = new HostSettings("host", "si-a", 1, ChoicePolicy.RANDOM, 10);
        CoreDriver driver =
                new CoreDriver(new HostCore(settings, new SplittableRandom(1)), new TraceRecorder(settings, 1, 0));
        Set<Class<?>> performedKinds = new HashSet<>();
        driver.setDecisionSink(decision -> {
            performedKinds.add(decision.getClass());
            if (failing.isInstance(decision)) {
                throw new IllegalArgumentException("this decision cannot be performed");
            }
        });
        driver.handle(configurationReadEvent());
        driver.handle(new Event.CallArrived(1, new Arrival(Method.GET, "/jobs/lookups")));
        assertThat(
                performedKinds,
                hasItems(Decision.Audit.class, Decision.Apply.class, Decision.UseServers.class, Decision.Send.class));
    }

    private static Event configurationReadEvent() {
        String text = new ConfigurationWriter()
                .printUnchecked(Configuration.revision(1).service(CoreHarness.jobsService(2)));
        try {
            return new Event.ConfigurationRead(new ConfigurationReader().read("test", text), "test");
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
