package org.chivecourse.command;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.chivecourse.gateway.daemon.Gateway;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.settings.GatewaySettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a gateway until a signal to stop; the exit code is 1 if open exchanges were cut. */
@Command(
        name = "gateway",
        description = "Runs a gateway until SIGTERM or SIGINT; a second signal skips draining.",
        mixinStandardHelpOptions = true)
final class GatewayCommand implements Callable<Integer> {

    /** The file with the gateway's settings. */
    @Option(names = "--settings", required = true, description = "The YAML file with the gateway's settings.")
    private Path settings;

    /** Whether to validate the settings without running the gateway. */
    @Option(names = "--check", description = "Validate the settings without running the gateway.")
    private boolean check;

    @Override
    public Integer call() throws Exception {
        GatewaySettings gatewaySettings = GatewaySettingsReader.read(settings);
        if (check) {
            System.out.println(settings + ": the settings are valid");
            return ExitCode.SUCCESS;
        }
        Gateway gateway = new Gateway(gatewaySettings, new SecureRandom().nextLong(), Clock.systemUTC());
        CountDownLatch stopRequested = new CountDownLatch(1);
        StopSignals.install(() -> {
            if (stopRequested.getCount() == 0) {
                gateway.skipDrain();
            }
            stopRequested.countDown();
        });
        gateway.start();
        System.out.println("callers " + gateway.callerPort() + " operators " + gateway.operatorPort() + " peers "
                + gateway.peerPort());
        stopRequested.await();
        int cutCalls = gateway.stop();
        return cutCalls == 0 ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
