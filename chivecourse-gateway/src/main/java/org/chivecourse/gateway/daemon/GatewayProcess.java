package org.chivecourse.gateway.daemon;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.gateway.environment.GatewayEnvironment;
import org.chivecourse.gateway.log.GatewayLog;
import org.chivecourse.gateway.log.JsonLineLog;
import org.chivecourse.gateway.log.LibraryLogHandler;
import org.chivecourse.gateway.log.LineQueue;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.settings.GatewaySettingsReader;
import reactor.util.Loggers;
import sun.misc.Signal;

/** Runs a gateway as a process: reads its settings, handles signals and flushes the log before the process exits. */
public final class GatewayProcess {

    /** The exit code after a stop that aborted no exchange. */
    public static final int EXIT_SUCCESS = 0;

    /** The exit code after a failure to start, or after a stop that aborted exchanges. */
    public static final int EXIT_FAILURE = 1;

    /** The exit code for settings that cannot be used. */
    public static final int EXIT_INVALID_SETTINGS = 2;

    /** The maximum time to wait for pending log lines when the process ends, in milliseconds. */
    private static final long LOG_FLUSH_TIMEOUT_MILLISECONDS = 300;

    /** A fixed machine identifier for Netty, which otherwise enumerates the network interfaces to derive one. */
    private static final String MACHINE_IDENTIFIER = "00:00:00:00:00:00:00:01";

    /** Prevents instantiation. */
    private GatewayProcess() {}

    /**
     * Sets the system properties of libraries and makes them log through the JDK's logging. Must be called before any
     * library is used.
     */
    public static void configureLibraries() {
        System.setProperty("org.jboss.logging.provider", "jdk");
        System.setProperty("reactor.netty.native", "false");
        System.setProperty("io.netty.machineId", MACHINE_IDENTIFIER);
        Loggers.useJdkLoggers();
    }

    /**
     * Runs a gateway until a signal stops it.
     *
     * @param file the YAML file with the gateway's settings
     * @param environmentFactory creates the environment of the platform for a log
     * @return the exit code
     */
    public static int run(Path file, Function<GatewayLog, GatewayEnvironment> environmentFactory) {
        configureLibraries();
        Clock clock = Clock.systemUTC();
        LineQueue lines = new LineQueue(new FileOutputStream(FileDescriptor.out));
        lines.start();
        new LibraryLogHandler(clock, lines).install();
        try {
            GatewaySettings settings = GatewaySettingsReader.read(file);
            GatewayLog log = new JsonLineLog(settings.name(), clock, lines);
            Gateway gateway =
                    new Gateway(settings, new SecureRandom().nextLong(), clock, environmentFactory.apply(log));
            return serve(gateway, new SettingsFileWatcher(file, gateway));
        } catch (DocumentException exception) {
            System.err.println("chivecourse: " + exception.getMessage());
            return EXIT_INVALID_SETTINGS;
        } catch (GatewayException | IOException exception) {
            System.err.println("chivecourse: " + exception.getMessage());
            return EXIT_FAILURE;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return EXIT_FAILURE;
        } finally {
            lines.stop(LOG_FLUSH_TIMEOUT_MILLISECONDS);
        }
    }

    /**
     * Starts a gateway, waits for SIGTERM or SIGINT and stops it. SIGHUP rereads the settings file.
     *
     * @param gateway the gateway
     * @param settingsFile the watcher of its settings file
     * @return the exit code
     * @throws GatewayException if the gateway cannot start
     * @throws InterruptedException if the thread is interrupted
     */
    private static int serve(Gateway gateway, SettingsFileWatcher settingsFile)
            throws GatewayException, InterruptedException {
        CountDownLatch stopRequested = new CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> stopRequested.countDown());
        Signal.handle(new Signal("INT"), signal -> stopRequested.countDown());
        Signal.handle(new Signal("HUP"), signal -> settingsFile.reload("SIGHUP", true));
        gateway.start();
        settingsFile.start();
        EventLoopWatchdog watchdog = new EventLoopWatchdog(gateway::ticks);
        while (!stopRequested.await(EventLoopWatchdog.CHECK_INTERVAL_SECONDS, TimeUnit.SECONDS)) {
            if (watchdog.standsStill()) {
                System.err.println("chivecourse: the event loop stands still, so the process ends to be restarted");
                Runtime.getRuntime().halt(EXIT_FAILURE);
            }
        }
        return gateway.stop() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
}
