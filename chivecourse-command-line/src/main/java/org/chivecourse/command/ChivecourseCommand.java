package org.chivecourse.command;

import java.util.concurrent.Callable;
import org.chivecourse.command.bench.BenchCommand;
import org.chivecourse.command.bench.DecisionsCommand;
import org.chivecourse.command.bench.FleetCommand;
import org.chivecourse.command.bench.RecoveryCommand;
import org.chivecourse.command.demo.DemoCommand;
import org.chivecourse.gateway.log.JsonLogging;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The entry point of the command line. */
@Command(
        name = "chivecourse",
        description = "A load balancer for servers whose load changes within milliseconds.",
        mixinStandardHelpOptions = true,
        version = "chivecourse 0.1.0",
        subcommands = {
            GatewayCommand.class,
            ConfigurationCommand.class,
            StatusCommand.class,
            StandInCommand.class,
            LoadCommand.class,
            ReplayCommand.class,
            DemoCommand.class,
            BenchCommand.class,
            DecisionsCommand.class,
            FleetCommand.class,
            RecoveryCommand.class
        })
public final class ChivecourseCommand implements Callable<Integer> {

    /** The specification of the command, injected by picocli. */
    @Spec
    private CommandSpec specification;

    /** Creates the command. */
    public ChivecourseCommand() {}

    /**
     * Runs the command line and exits the process with its exit code.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String... arguments) {
        JsonLogging.install();
        System.exit(execute(arguments));
    }

    /**
     * Runs the command line. An exception is printed as an error and leads to {@link ExitCode#BAD_INPUT}.
     *
     * @param arguments the command-line arguments
     * @return the exit code
     */
    public static int execute(String... arguments) {
        return new CommandLine(new ChivecourseCommand())
                .setExecutionExceptionHandler((exception, line, parsed) -> {
                    line.getErr().println("chivecourse: " + exception.getMessage());
                    return ExitCode.BAD_INPUT;
                })
                .execute(arguments);
    }

    @Override
    public Integer call() {
        specification.commandLine().usage(specification.commandLine().getErr());
        return ExitCode.BAD_INPUT;
    }
}
