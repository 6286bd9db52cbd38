import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Gateways in processes of their own, started by the run line of the deploy file with settings by its template. */
final class Fleet implements AutoCloseable {

    /** The start of the loopback addresses of the gateways. */
    private static final String ADDRESS_START = "127.0.0.";

    private static final int FIRST_ADDRESS = 11;

    private static final int STOP_SECONDS = 9;

    private final Path folder = Files.createTempDirectory("fleet");

    private final String store;

    private final int size;

    private final int callerPort;

    private final int operatorPort;

    private final int peerPort;

    private final int forwardingPort;

    private final Process[] processes;

    Fleet(String store, int size) throws IOException {
        this.store = store;
        this.size = size;
        processes = new Process[size];
        callerPort = freePort();
        operatorPort = freePort();
        peerPort = freePort();
        forwardingPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    private void kill() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    String ip(int index) {
        return ADDRESS_START + (FIRST_ADDRESS + index);
    }

    private String settings(int index) throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int seed = 0; seed < Math.min(3, size); seed++) {
            seeds.add("\"" + ip(seed) + ":" + peerPort + "\"");
        }
        return Files.readString(Path.of("deploy", "gateway.yaml"))
                .replace("{{NodeName}}", "front-" + index)
                .replace("{{Zone}}", "a")
                .replace("{{Listen.Front}}", ip(index) + ":" + callerPort)
                .replace("{{Listen.Readiness}}", ip(index) + ":" + operatorPort)
                .replace("{{Listen.Control}}", ip(index) + ":" + peerPort)
                .replace("{{Ip}}:{{InternalPortRange.0}}", ip(index) + ":" + forwardingPort)
                .replace("{{Provider.Address}}", store)
                .replace("{{#SeedNodes}}\"{{.}}\"{{,}}{{/SeedNodes}}", String.join(",", seeds))
                .replace("{{Bounds.RetryBudgetRatio}}", "0.2")
                .replace("{{Bounds.BudgetSlack}}", "58")
                .replace("{{Bounds.BudgetWindowS}}", "10")
                .replace("{{#Bounds.GraceS}}", "")
                .replace("{{/Bounds.GraceS}}", "")
                .replace("{{.}}", "6");
    }

    void start(int index) throws IOException {
        Path file = folder.resolve("gateway-" + index + ".yaml");
        Files.writeString(file, settings(index));
        String run = Files.readString(Path.of("deploy", "system.toml"))
                .lines()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        List<String> words = new ArrayList<>(List.of(command.split(" ")));
        words.set(words.size() - 1, file.toString());
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("gateway-" + index + ".log").toFile()));
        processes[index] = builder.start();
    }

    void startAll() throws IOException, InterruptedException {
        for (int index = 0; index < size; index++) {
            start(index);
        }
        for (int index = 0; index < size; index++) {
            awaitReady(index);
        }
    }

    /** Waits until a gateway says that it is ready, for 20 seconds at most. */
    void awaitReady(int index) throws InterruptedException, IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            if (ready(index)) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("gateway " + index + " did not become ready, see " + log(index));
    }

    boolean ready(int index) {
        try (Socket socket = connect(index, operatorPort)) {
            Http.write(socket, "GET /ready HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n", new byte[0]);
            return Http.readHead(socket.getInputStream()).status() == 200;
        } catch (IOException | RuntimeException exception) {
            return false;
        }
    }

    Socket openCaller(int index) throws IOException {
        return connect(index, callerPort);
    }

    private Socket connect(int index, int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName(ip(index)), port), 1000);
        return socket;
    }

    Process process(int index) {
        return processes[index];
    }

    /** Sends a signal to a gateway that this fleet started. */
    void signal(int index, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes[index].pid())).start().waitFor();
    }

    File log(int index) {
        return folder.resolve("gateway-" + index + ".log").toFile();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        kill();
        for (Process process : processes) {
            if (process != null) {
                process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
        }
        Files.deleteIfExists(folder);
    }
}
