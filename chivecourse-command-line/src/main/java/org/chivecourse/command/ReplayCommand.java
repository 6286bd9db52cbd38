package org.chivecourse.command;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.chivecourse.protocol.trace.InvariantCheck;
import org.chivecourse.protocol.trace.Trace;
import org.chivecourse.protocol.trace.TraceFormat;
import org.chivecourse.protocol.trace.TraceReplay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks the invariants of a trace and replays a complete one through the decision core. */
@Command(
        name = "replay",
        description = "Checks the invariants of a trace and replays it through the decision core if it is complete.",
        mixinStandardHelpOptions = true)
final class ReplayCommand implements Callable<Integer> {

    /** The file with the trace. */
    @Parameters(index = "0", paramLabel = "TRACE", description = "The trace, as returned by a gateway at /trace.")
    private Path file;

    @Override
    public Integer call() throws Exception {
        if (!Files.isReadable(file)) {
            System.err.println("chivecourse: trace " + file + " does not exist or cannot be read");
            return ExitCode.BAD_INPUT;
        }
        Trace trace = new TraceFormat().read(file.toString(), Files.readString(file));
        List<String> violations = new InvariantCheck().violations(trace);
        violations.forEach(line -> System.out.println("BROKEN: " + line));
        List<String> differences = List.of();
        if (trace.start().complete()) {
            differences = new TraceReplay().differences(trace);
            differences.forEach(line -> System.out.println("DIFFERENT: " + line));
        } else {
            System.out.println("the trace lacks its start: its decisions are checked but not replayed");
        }
        System.out.printf(
                "%d steps, %d broken promises, %d differences%n",
                trace.steps().size(), violations.size(), differences.size());
        return violations.isEmpty() && differences.isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
