package org.chivecourse.coordination.host;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.protocol.trace.InvariantCheck;
import org.chivecourse.protocol.trace.Trace;
import org.chivecourse.protocol.trace.TraceFormat;
import org.chivecourse.protocol.trace.TraceReplay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects every pair of faults at every step of a call, for lookups and for orders. Guards against a core that breaks
 * an invariant or leaves a call open when two faults coincide.
 */
class FaultMatrixTest {

    private static final Path TRACES = Path.of("..", "traces");

    /** The steps of a call, each with the actions that drive a new run just past it. */
    private enum Step {
        ACCEPT(run -> {}),
        CHOOSE(FaultRun::arrive),
        SEND(run -> {
            run.arrive();
            run.connect();
        }),
        WAIT(run -> {
            run.arrive();
            run.connect();
            run.harness().advance(50);
        }),
        RETRY(run -> {
            run.arrive();
            run.connect();
            run.failAttempt(false);
            run.connect();
        }),
        ANSWER(run -> {
            run.arrive();
            run.answerHead(new Event.AnswerHead(200, false, false, null));
        });

        private final Consumer<FaultRun> preparation;

        Step(Consumer<FaultRun> preparation) {
            this.preparation = preparation;
        }
    }

    static Stream<Arguments> cells() {
        List<Arguments> cells = new ArrayList<>();
        for (Step step : Step.values()) {
            for (CoreFault first : CoreFault.values()) {
                for (CoreFault second : CoreFault.values()) {
                    cells.add(Arguments.of(step, first, second));
                }
            }
        }
        return cells.stream();
    }

    private static FaultRun run(boolean order, Step step, CoreFault... faults) {
        FaultRun run = new FaultRun(order);
        step.preparation.accept(run);
        for (CoreFault fault : faults) {
            fault.inject(run);
        }
        if (step == Step.ACCEPT) {
            run.arrive();
        }
        run.finish();
        return run;
    }

    @ParameterizedTest
    @MethodSource("cells")
    void keepsInvariantsUnderPairsOfFaults(Step step, CoreFault first, CoreFault second) {
        for (boolean order : new boolean[] {false, true}) {
            FaultRun run = run(order, step, first, second);
            assertThat(new InvariantCheck().violations(run.harness().trace()), empty());
            assertThat(run.harness().core().openCalls(), equalTo(0));
        }
    }

    /** Checks the shipped traces of single faults; rewrites them first if the property {@code traces.write} is set. */
    @Test
    void shippedTracesKeepInvariantsAndReplay() throws Exception {
        if (Boolean.getBoolean("traces.write")) {
            writeTraces();
        }
        TraceFormat format = new TraceFormat();
        int count = 0;
        try (Stream<Path> files = Files.list(TRACES)) {
            for (Path file : files.sorted().toList()) {
                Trace trace = format.read(file.toString(), Files.readString(file));
                assertThat(new InvariantCheck().violations(trace), empty());
                assertThat(new TraceReplay().differences(trace), empty());
                assertThat(format.write(trace), equalTo(Files.readString(file)));
                count++;
            }
        }
        assertThat(count, equalTo(CoreFault.values().length));
    }

    private static void writeTraces() throws IOException {
        Files.createDirectories(TRACES);
        for (CoreFault fault : CoreFault.values()) {
            Trace trace = run(true, Step.SEND, fault).harness().trace();
            String name = fault.name().toLowerCase(Locale.ROOT).replace('_', '-') + ".jsonl";
            Files.writeString(TRACES.resolve(name), new TraceFormat().write(trace));
        }
    }
}
