package org.chivecourse.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.chivecourse.transport.http.BackendConnections;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Prints the status of gateways. */
@Command(
        name = "status",
        description = "Prints the status of gateways; exits with 1 if one does not answer.",
        mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {

    /** The maximum time to wait for the response of a gateway. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** The operators' addresses of the gateways. */
    @Parameters(arity = "1..*", paramLabel = "ADDRESS", description = "The operators' addresses of gateways.")
    private List<String> addresses;

    /** Whether to print the status as JSON instead of a table. */
    @Option(names = "--json", description = "Print the complete status as JSON.")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        List<String> unreachable = new ArrayList<>();
        for (String address : addresses) {
            String status = fetchStatus(address);
            if (status == null) {
                unreachable.add(address);
                continue;
            }
            System.out.print(json ? status + "\n" : StatusTable.format(status));
        }
        unreachable.forEach(address -> System.out.println("NOT KNOWN: " + address + " does not answer"));
        return unreachable.isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }

    /**
     * Fetches the status of a gateway.
     *
     * @param address the operators' address
     * @return the status as JSON, or {@code null} if the gateway does not answer
     */
    private static String fetchStatus(String address) {
        return HttpClient.create()
                .remoteAddress(() -> BackendConnections.unresolvedAddress(address))
                .responseTimeout(TIMEOUT)
                .get()
                .uri("/status")
                .responseSingle((response, body) -> body.asString())
                .onErrorResume(failure -> Mono.empty())
                .block(TIMEOUT.multipliedBy(2));
    }
}
