package org.chivecourse.command.bench;

import java.util.concurrent.Callable;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the JMH benchmark of decisions in this process. */
@Command(
        name = "bench-decisions",
        description = "Measures the time and allocation of decisions with JMH in this process.",
        mixinStandardHelpOptions = true)
public final class DecisionsCommand implements Callable<Integer> {

    /** The number of measurements of one second. */
    @Option(names = "--iterations", defaultValue = "5", description = "The number of measurements, each of one second.")
    private int iterations;

    /** Creates the command. */
    public DecisionsCommand() {}

    @Override
    public Integer call() throws Exception {
        new Runner(new OptionsBuilder()
                        .include(DecisionBenchmark.class.getName())
                        .forks(0)
                        .warmupIterations(2)
                        .warmupTime(TimeValue.seconds(1))
                        .measurementIterations(iterations)
                        .measurementTime(TimeValue.seconds(1))
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
        return 0;
    }
}
