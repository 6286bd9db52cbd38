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

/** Runs a gateway until it is asked to stop. */
@Command(
        name = "gateway",
        description = "Runs a gateway until SIGTERM or SIGINT; a second signal ends the stop at once.",
        mixinStandardHelpOptions = true)
final class GatewayCommand implements Callable<Integer> {

    /** The file with the settings. */
    @Option(names = "--settings", required = true, description = "The YAML file with the gateway's settings.")
    private Path settings;

    /** Whether the settings are only checked. */
    @Option(names = "--check", description = "Only check the settings.")
    private boolean check;

    @Override
    public Integer call() throws Exception {
        GatewaySettings read = GatewaySettingsReader.read(settings);
        if (check) {
            System.out.println(settings + ": the settings are valid");
            return ExitCode.DONE;
        }
        Gateway gateway = new Gateway(read, new SecureRandom().nextLong(), Clock.systemUTC());
        CountDownLatch asked = new CountDownLatch(1);
        StopSignals.install(() -> {
            if (asked.getCount() == 0) {
                gateway.skipDrain();
            }
            asked.countDown();
        });
        gateway.start();
        System.out.println("callers " + gateway.callerPort() + " operators " + gateway.operatorPort() + " peers "
                + gateway.peerPort());
        asked.await();
        int cut = gateway.stop();
        return cut == 0 ? ExitCode.DONE : ExitCode.FAILED;
    }
}
