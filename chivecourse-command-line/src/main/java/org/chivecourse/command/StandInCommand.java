package org.chivecourse.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.standin.backend.BackendProfile;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.standin.backend.RunCounts;
import org.chivecourse.standin.platform.ValueStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs simulated platform services and backend servers on loopback. */
@Command(
        name = "stand-in",
        description = "Runs a simulated platform service or backend server on loopback for trials and tests.",
        mixinStandardHelpOptions = true,
        subcommands = {
            StandInCommand.ConfigurationService.class,
            StandInCommand.Hosts.class,
            StandInCommand.BackendServer.class
        })
final class StandInCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        System.err.println("chivecourse stand-in: expected one of configuration-service, host-list, backend-server");
        return ExitCode.BAD_INPUT;
    }

    /**
     * Returns a socket address on loopback.
     *
     * @param port the port, zero for any free port
     */
    private static InetSocketAddress loopbackAddress(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /**
     * Blocks until a signal to stop.
     *
     * @return the exit code
     * @throws InterruptedException if the thread is interrupted
     */
    private static int awaitStopSignal() throws InterruptedException {
        CountDownLatch stopRequested = new CountDownLatch(1);
        StopSignals.install(stopRequested::countDown);
        stopRequested.await();
        return ExitCode.SUCCESS;
    }

    /**
     * Serves a value until a signal to stop.
     *
     * @param path the path of the value
     * @param port the port, zero for any free port
     * @param file the file with the initial value, {@code null} for none
     * @return the exit code
     * @throws IOException if the file cannot be read
     * @throws InterruptedException if the thread is interrupted
     */
    private static int serveUntilStopped(String path, int port, Path file) throws IOException, InterruptedException {
        ValueStandIn standIn = new ValueStandIn(path, loopbackAddress(port));
        if (file != null) {
            standIn.publish(Files.readString(file));
        }
        standIn.start();
        System.out.println("listening " + standIn.address());
        int code = awaitStopSignal();
        standIn.stop();
        return code;
    }

    /** Runs a simulated configuration service. */
    @Command(
            name = "configuration-service",
            description =
                    "Serves a configuration, which is replaced by PUT " + PlatformProtocol.CONFIGURATION_PATH + ".",
            mixinStandardHelpOptions = true)
    static final class ConfigurationService implements Callable<Integer> {

        /** The port, zero for any free port. */
        @Option(names = "--port", defaultValue = "0", description = "The port (default: any free port).")
        private int port;

        /** The file with the initial configuration, {@code null} for none. */
        @Option(names = "--file", description = "The file with the initial configuration.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return serveUntilStopped(PlatformProtocol.CONFIGURATION_PATH, port, file);
        }
    }

    /** Runs a simulated host list. */
    @Command(
            name = "host-list",
            description = "Serves a host list, which is replaced by PUT " + PlatformProtocol.HOSTS_PATH + ".",
            mixinStandardHelpOptions = true)
    static final class Hosts implements Callable<Integer> {

        /** The port, zero for any free port. */
        @Option(names = "--port", defaultValue = "0", description = "The port (default: any free port).")
        private int port;

        /** The file with the initial host list, {@code null} for none. */
        @Option(names = "--file", description = "The file with the initial host list.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return serveUntilStopped(PlatformProtocol.HOSTS_PATH, port, file);
        }
    }

    /** Runs a simulated backend server. */
    @Command(
            name = "backend-server",
            description = "Runs a simulated backend server with slots and injectable faults.",
            mixinStandardHelpOptions = true)
    static final class BackendServer implements Callable<Integer> {

        /** The port, zero for any free port. */
        @Option(names = "--port", defaultValue = "0", description = "The port (default: any free port).")
        private int port;

        /** The number of requests that run concurrently. */
        @Option(names = "--slots", defaultValue = "4", description = "The number of slots (default: ${DEFAULT-VALUE}).")
        private int slots;

        /** The mean time to run a request. */
        @Option(
                names = "--service-milliseconds",
                defaultValue = "10",
                description = "The mean time to run a request in milliseconds (default: ${DEFAULT-VALUE}).")
        private int serviceMilliseconds;

        /** The seed of service times. */
        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "The seed of service times (default: ${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() throws Exception {
            BackendProfile profile = new BackendProfile(slots, Duration.ofMillis(serviceMilliseconds));
            BackendServerStandIn standIn =
                    new BackendServerStandIn(loopbackAddress(port), profile, new RunCounts(), seed);
            standIn.start();
            System.out.println("listening " + standIn.address());
            int code = awaitStopSignal();
            standIn.stop();
            return code;
        }
    }
}
