package org.chivecourse.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.configuration.rule.Finding;
import org.chivecourse.standin.deployment.ServiceShape;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Checks, prints and compares configurations. */
@Command(
        name = "configuration",
        description = "Checks, prints and compares configurations.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ConfigurationCommand.Check.class,
            ConfigurationCommand.Print.class,
            ConfigurationCommand.Compare.class,
            ConfigurationCommand.Again.class
        })
final class ConfigurationCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        System.err.println("chivecourse configuration: expected one of check, print, compare, again");
        return ExitCode.BAD_INPUT;
    }

    /**
     * Reads a configuration from a file.
     *
     * @param path the file
     * @return the configuration with its dangerous settings
     * @throws IOException if the file cannot be read
     * @throws DocumentException if the file does not exist or its text does not have the structure of a configuration
     * @throws ConfigurationException if the configuration violates a rule
     */
    static LoadedConfiguration read(Path path) throws IOException, DocumentException, ConfigurationException {
        if (!Files.isReadable(path)) {
            throw new DocumentException(path.toString(), "file does not exist or cannot be read");
        }
        return new ConfigurationReader().read(path.toString(), Files.readString(path));
    }

    /** Validates a configuration; the exit code is 1 if it is valid but has dangerous settings. */
    @Command(name = "check", description = "Validates a configuration.", mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {

        /** The file with the printed configuration. */
        @Parameters(index = "0", paramLabel = "FILE", description = "The printed configuration.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            LoadedConfiguration configuration = read(file);
            for (Finding danger : configuration.dangers()) {
                System.out.println("DANGER: " + danger.problem());
            }
            Configuration content = configuration.printed().configuration();
            System.out.println(file + ": revision " + content.revision() + " with "
                    + content.services().size() + " services is valid, digest "
                    + configuration.printed().digest());
            return configuration.dangers().isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
        }
    }

    /** Prints the example configuration with backend servers on consecutive loopback ports. */
    @Command(name = "print", description = "Prints the example configuration.", mixinStandardHelpOptions = true)
    static final class Print implements Callable<Integer> {

        /** The revision of the printed configuration. */
        @Option(names = "--revision", defaultValue = "1", description = "The revision (default: ${DEFAULT-VALUE}).")
        private long revision;

        /** The port of the first backend server. */
        @Option(
                names = "--first-port",
                defaultValue = "9000",
                description = "The port of the first backend server (default: ${DEFAULT-VALUE}).")
        private int firstPort;

        @Override
        public Integer call() throws Exception {
            Configuration configuration = Configuration.revision(revision);
            int port = firstPort;
            for (ServiceShape shape : ServiceShape.values()) {
                List<String> addresses = new ArrayList<>();
                for (int index = 0; index < shape.servers(); index++) {
                    addresses.add("127.0.0.1:" + port++);
                }
                configuration = configuration.service(shape.toService(addresses));
            }
            System.out.print(new ConfigurationWriter().print(configuration).text());
            return ExitCode.SUCCESS;
        }
    }

    /**
     * Prints the differences of two configurations; the exit code is 1 if the new one is dangerous or would not be put
     * in force after the old one.
     */
    @Command(
            name = "compare",
            description = "Prints the differences between two configurations.",
            mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {

        /** The file with the configuration in force. */
        @Parameters(index = "0", paramLabel = "OLD", description = "The configuration in force.")
        private Path old;

        /** The file with the new configuration. */
        @Parameters(index = "1", paramLabel = "NEW", description = "The new configuration.")
        private Path next;

        @Override
        public Integer call() throws Exception {
            LoadedConfiguration before = read(old);
            LoadedConfiguration after = read(next);
            List<String> problems = new ArrayList<>();
            after.dangers().forEach(danger -> problems.add(danger.problem()));
            problems.addAll(ConfigurationComparison.findOrderProblems(before.printed(), after.printed()));
            ConfigurationComparison.describeChanges(
                            before.printed().configuration(), after.printed().configuration())
                    .forEach(System.out::println);
            problems.forEach(problem -> System.out.println("DANGER: " + problem));
            return problems.isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
        }
    }

    /**
     * Prints the content of an old configuration as the successor of the configuration in force, to roll back a change.
     */
    @Command(
            name = "again",
            description = "Prints the content of an old configuration as the next revision of the one in force.",
            mixinStandardHelpOptions = true)
    static final class Again implements Callable<Integer> {

        /** The file with the configuration whose content is reused. */
        @Parameters(index = "0", paramLabel = "OLD", description = "The configuration whose content is reused.")
        private Path old;

        /** The file with the configuration in force. */
        @Parameters(index = "1", paramLabel = "CURRENT", description = "The configuration in force.")
        private Path current;

        @Override
        public Integer call() throws Exception {
            PrintedConfiguration inForce = read(current).printed();
            Configuration content = read(old).printed().configuration();
            long revision = inForce.configuration().revision() + 1;
            Configuration next = content.following(revision, inForce.digest());
            System.out.print(new ConfigurationWriter().print(next, inForce).text());
            return ExitCode.SUCCESS;
        }
    }
}
