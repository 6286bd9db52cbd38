package org.chivecourse.command.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.chivecourse.command.ChivecourseCommand;
import org.chivecourse.configuration.format.ConfigurationWriter;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.protocol.platform.HostList;
import org.chivecourse.protocol.platform.PlatformProtocol;
import org.chivecourse.standin.load.LoadGenerator;
import org.chivecourse.standin.load.LoadPlan;
import org.chivecourse.standin.load.LoadTestReport;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Runs gateways and simulated services in separate processes, which are killed when the fleet is closed. */
final class ProcessFleet implements AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final Path folder;

    private final List<Process> processes = new ArrayList<>();

    private final Map<Process, String> firstLines = new HashMap<>();

    private final Map<String, String> peerAddresses = new TreeMap<>();

    private String configurationService;

    private String hostList;

    private final List<String> backendServers = new ArrayList<>();

    ProcessFleet(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts a process and waits for its first line of output, which contains the ports or the address it listens on.
     */
    Process startProcess(String heap, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                heap,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                "-cp",
                System.getProperty("java.class.path"),
                ChivecourseCommand.class.getName()));
        command.addAll(List.of(arguments));
        Path log = folder.resolve("process-" + processes.size() + ".log");
        Process process =
                new ProcessBuilder(command).redirectError(log.toFile()).start();
        processes.add(process);
        BufferedReader reader = new BufferedReader(new InputStreamReader(process.getInputStream()));
        String line = reader.readLine();
        if (line == null) {
            throw new IOException("process ended before its first line of output: " + Files.readString(log));
        }
        firstLines.put(process, line);
        return process;
    }

    ProcessFleet withConfigurationService() throws IOException {
        Process process = startProcess("-Xmx64m", "stand-in", "configuration-service");
        configurationService = firstLineWord(process, 1);
        hostList = firstLineWord(startProcess("-Xmx64m", "stand-in", "host-list"), 1);
        publishHostList();
        return this;
    }

    Process startBackendServer(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("stand-in", "backend-server"));
        command.addAll(List.of(arguments));
        Process process = startProcess("-Xmx128m", command.toArray(new String[0]));
        backendServers.add(firstLineWord(process, 1));
        return process;
    }

    Process startGateway(String name, String heap) throws IOException {
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(
                settings,
                "name: " + name + "\ndata-centre: si-a\n"
                        + "callers: {address: \"127.0.0.1:0\"}\n"
                        + "operators: {address: \"127.0.0.1:0\"}\n"
                        + "configuration-service: [\"" + configurationService + "\"]\n"
                        + "host-list: [\"" + hostList + "\"]\n"
                        + "peers: {address: \"127.0.0.1:0\"}\n"
                        + "expected-hosts: 3\n"
                        + "drain: {linger-milliseconds: 500, deadline-milliseconds: 30000}\n");
        Process process = startProcess(heap, "gateway", "--settings", settings.toString());
        peerAddresses.put(name, "127.0.0.1:" + firstLineWord(process, 5));
        publishHostList();
        await(() -> get(operatorAddress(process), "/ready").startsWith("ready"));
        return process;
    }

    private void publishHostList() {
        List<HostList.Host> list = new ArrayList<>();
        peerAddresses.forEach(
                (name, address) -> list.add(new HostList.Host(name, address, "si-a", HostList.HostState.LIVE)));
        put(hostList, PlatformProtocol.HOSTS_PATH, new HostList(list).toJson());
    }

    private String firstLineWord(Process process, int index) {
        return firstLines.get(process).split(" ")[index];
    }

    String callerAddress(Process gateway) {
        return "127.0.0.1:" + firstLineWord(gateway, 1);
    }

    String operatorAddress(Process gateway) {
        return "127.0.0.1:" + firstLineWord(gateway, 3);
    }

    /** Publishes a configuration of the service {@code jobs} with the backend servers started so far. */
    void publish(long revision, int queueLimit) {
        putConfiguration(new ConfigurationWriter()
                .printUnchecked(Configuration.revision(revision).service(createJobsService(queueLimit))));
    }

    private Service createJobsService(int queueLimit) {
        Service jobs = Service.named("jobs")
                .limits(Limits.DEFAULT.deadline(Duration.ofSeconds(10)).queueLimit(queueLimit))
                .refusal(new RefusalSignal(503, "Refused", "before-running"))
                .route(Route.of("/jobs/lookups", Method.GET).attempts(3))
                .route(Route.of("/jobs/orders", Method.POST));
        for (String server : backendServers) {
            jobs = jobs.backendServer(BackendServer.at(server).in("si-a"));
        }
        return jobs;
    }

    void putConfiguration(String text) {
        put(configurationService, PlatformProtocol.CONFIGURATION_PATH, text);
    }

    private static void put(String address, String path, String text) {
        HttpClient.create()
                .put()
                .uri("http://" + address + path)
                .send((request, outbound) -> outbound.sendString(Mono.just(text)))
                .response()
                .block(TIMEOUT);
    }

    void post(String address, String path) {
        HttpClient.create().post().uri("http://" + address + path).response().block(TIMEOUT);
    }

    String configurationService() {
        return configurationService;
    }

    /** Returns the body of a response, empty if there is no response. */
    static String get(String address, String path) {
        return HttpClient.create()
                .responseTimeout(Duration.ofSeconds(5))
                .get()
                .uri("http://" + address + path)
                .responseSingle((response, body) -> body.asString())
                .onErrorResume(failure -> Mono.empty())
                .blockOptional(TIMEOUT)
                .orElse("");
    }

    /** Starts load on gateways and returns its results when it has ended. */
    CompletableFuture<LoadTestReport> startLoad(String label, int seconds, Process... gateways) {
        List<String> targets = new ArrayList<>();
        List<String> ready = new ArrayList<>();
        for (Process gateway : gateways) {
            targets.add(callerAddress(gateway));
            ready.add(operatorAddress(gateway));
        }
        LoadPlan plan = new LoadPlan(
                targets,
                ready,
                List.of("/jobs"),
                100,
                Duration.ofSeconds(seconds),
                Duration.ZERO,
                50,
                Duration.ofSeconds(60),
                7,
                label);
        return CompletableFuture.supplyAsync(new LoadGenerator(plan)::run);
    }

    /** Returns the number of runs of each request over all backend servers that respond. */
    Map<String, Integer> fetchRunCounts() {
        Map<String, Integer> runCounts = new HashMap<>();
        for (String server : backendServers) {
            get(server, "/stand-in/runs").lines().forEach(line -> {
                int space = line.lastIndexOf(' ');
                runCounts.merge(line.substring(0, space), Integer.parseInt(line.substring(space + 1)), Integer::sum);
            });
        }
        return runCounts;
    }

    static void signal(Process process, String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition was not met in time");
            }
            pause(20);
        }
    }

    static void pause(long milliseconds) {
        LockSupport.parkNanos(Duration.ofMillis(milliseconds).toNanos());
    }

    @Override
    public void close() {
        processes.forEach(process -> signal(process, "CONT"));
        processes.forEach(Process::destroyForcibly);
    }
}
