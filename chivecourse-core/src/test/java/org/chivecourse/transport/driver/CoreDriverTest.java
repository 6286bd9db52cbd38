package org.chivecourse.transport.driver;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
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

class CoreDriverTest {

    @Test
    void sendsNoCallBeforeConfigurationIsApplied() throws Exception {
        HostSettings settings = new HostSettings("host", "si-a", 1, ChoicePolicy.RANDOM, 10);
        CoreDriver driver =
                new CoreDriver(new HostCore(settings, new SplittableRandom(1)), new TraceRecorder(settings, 1, 0));
        CountDownLatch applying = new CountDownLatch(1);
        CountDownLatch mayApply = new CountDownLatch(1);
        List<Decision> performed = new ArrayList<>();
        driver.setDecisionSink(decision -> {
            if (decision instanceof Decision.Apply) {
                applying.countDown();
                await(mayApply);
            }
            synchronized (performed) {
                performed.add(decision);
            }
        });
        Thread configuring = new Thread(() -> driver.handle(configurationRead()));
        configuring.start();
        await(applying);
        Thread calling =
                new Thread(() -> driver.handle(new Event.CallArrived(1, new Arrival(Method.GET, "/jobs/lookups"))));
        calling.start();
        calling.join(100);
        synchronized (performed) {
            assertThat(
                    performed.stream().filter(Decision.Send.class::isInstance).toList(), empty());
        }
        mayApply.countDown();
        calling.join();
        configuring.join();
        assertThat(performed.stream().filter(Decision.Send.class::isInstance).toList(), hasSize(1));
    }

    private static Event configurationRead() {
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
