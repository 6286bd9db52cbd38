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

/** Runs stand-ins of the platform and of backend servers. */
@Command(
        name = "stand-in",
        description = "Runs a stand-in on loopback for trials and tests.",
        mixinStandardHelpOptions = true,
        subcommands = {
            StandInCommand.ConfigurationService.class,
            StandInCommand.Hosts.class,
            StandInCommand.BackendServer.class
        })
final class StandInCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        System.err.println("chivecourse stand-in: name one of configuration-service, host-list, backend-server");
        return ExitCode.BAD_INPUT;
    }

    /**
     * Returns a socket address on loopback.
     *
     * @param port the port, zero for any
     * @return the socket address
     */
    private static InetSocketAddress loopbackAddress(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /**
     * Waits for a signal to stop.
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
     * @param port the port, zero for any
     * @param file the file with the first value, {@code null} for none
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

    /** Runs a stand-in of the configuration service. */
    @Command(
            name = "configuration-service",
            description = "Serves a configuration, replaced by PUT " + PlatformProtocol.CONFIGURATION_PATH + ".",
            mixinStandardHelpOptions = true)
    static final class ConfigurationService implements Callable<Integer> {

        /** The port. */
        @Option(names = "--port", defaultValue = "0", description = "The port, any free one if not given.")
        private int port;

        /** The file with the first value. */
        @Option(names = "--file", description = "The file with the first configuration.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return serveUntilStopped(PlatformProtocol.CONFIGURATION_PATH, port, file);
        }
    }

    /** Runs a stand-in of the host list. */
    @Command(
            name = "host-list",
            description = "Serves a host list, replaced by PUT " + PlatformProtocol.HOSTS_PATH + ".",
            mixinStandardHelpOptions = true)
    static final class Hosts implements Callable<Integer> {

        /** The port. */
        @Option(names = "--port", defaultValue = "0", description = "The port, any free one if not given.")
        private int port;

        /** The file with the first value. */
        @Option(names = "--file", description = "The file with the first host list.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return serveUntilStopped(PlatformProtocol.HOSTS_PATH, port, file);
        }
    }

    /** Runs a stand-in of a backend server. */
    @Command(
            name = "backend-server",
            description = "Runs a backend server with slots and faults.",
            mixinStandardHelpOptions = true)
    static final class BackendServer implements Callable<Integer> {

        /** The port. */
        @Option(names = "--port", defaultValue = "0", description = "The port, any free one if not given.")
        private int port;

        /** The number of slots. */
        @Option(names = "--slots", defaultValue = "4", description = "The slots, ${DEFAULT-VALUE} if not given.")
        private int slots;

        /** The mean time to run a request. */
        @Option(
                names = "--service-milliseconds",
                defaultValue = "10",
                description = "The mean time to run a request, ${DEFAULT-VALUE} if not given.")
        private int serviceMilliseconds;

        /** The seed of service times. */
        @Option(names = "--seed", defaultValue = "1", description = "The seed, ${DEFAULT-VALUE} if not given.")
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
