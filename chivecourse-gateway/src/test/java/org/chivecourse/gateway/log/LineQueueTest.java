package org.chivecourse.gateway.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against log lines lost at a stop: the writer thread is interrupted while it still collects a batch. */
class LineQueueTest {

    /** The stop timeout, longer than any write takes. */
    private static final long STOP_TIMEOUT_MILLISECONDS = 10_000;

    @Test
    void writesLinesAddedJustBeforeStop() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        LineQueue lines = new LineQueue(written);
        lines.start();
        lines.add("first");
        lines.add("second");
        lines.stop(STOP_TIMEOUT_MILLISECONDS);
        assertThat(written.toString(StandardCharsets.UTF_8), is("first\nsecond\n"));
    }
}
