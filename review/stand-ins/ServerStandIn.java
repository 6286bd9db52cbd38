import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound backend server of the platform. It runs every request for the same time. */
class ServerStandIn implements AutoCloseable {

    final String identity;

    final String service;

    final int slots;

    private final ServerSocket listener;

    private final long workMilliseconds;

    private final Record record;

    private final List<Socket> connections = new ArrayList<>();

    private final AtomicInteger running = new AtomicInteger();

    private final AtomicInteger runs = new AtomicInteger();

    private volatile boolean leaving;

    private final long startedAt = System.currentTimeMillis();

    ServerStandIn(String address, String identity, String service, int slots, long workMilliseconds, Record record)
            throws IOException {
        this.identity = identity;
        this.service = service;
        this.slots = slots;
        this.workMilliseconds = workMilliseconds;
        this.record = record;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 128);
        Threads.start("server", this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns what the backend server says of itself in the store. */
    String entry(String state, long sequence) {
        return "{\"Address\":\"" + address() + "\",\"born\":" + startedAt + ",\"Info\":{\"Service\":\"" + service
                + "\",\"Version\":\"v1\",\"Zone\":\"a\",\"Slots\":" + slots + "},\"Status\":{\"State\":\"" + state
                + "\",\"Sequence\":" + sequence + ",\"WarmupLeftMs\":0}}";
    }

    int runCount() {
        return runs.get();
    }

    void leave() {
        leaving = true;
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                synchronized (connections) {
                    connections.add(connection);
                }
                Threads.start("server-connection", () -> serve(connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            Http.Head head = Http.readHead(in);
            while (head != null) {
                byte[] body = Http.readBody(in, head, false);
                answer(connection, head, body);
                head = Http.readHead(in);
            }
        } catch (IOException | InterruptedException exception) {
            // The connection ended.
        } finally {
            synchronized (connections) {
                connections.remove(connection);
            }
        }
    }

    private String load() {
        return "X-Chivecourse-Server-Load: " + running.get() + ",0," + slots + ",100\r\n";
    }

    private void answer(Socket connection, Http.Head head, byte[] body) throws IOException, InterruptedException {
        if (head.target().equals("/health")) {
            String status = leaving ? "503 Service Unavailable" : "200 OK";
            Http.write(
                    connection,
                    "HTTP/1.1 " + status + "\r\nX-Chivecourse-Instance-Id: " + identity + "\r\n" + load()
                            + "Content-Length: 0\r\n\r\n",
                    new byte[0]);
            return;
        }
        String request = head.field("X-Chivecourse-Request-Id");
        String target = head.field("X-Chivecourse-Target-Instance");
        if (target != null && !target.equals(identity)) {
            refuse(connection, "421 Misdirected Request", request);
            return;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            refuse(connection, "503 Service Unavailable", request);
            return;
        }
        try {
            runs.incrementAndGet();
            record.run(request, identity, service, head.method() + " " + head.target());
            work(head);
        } finally {
            running.decrementAndGet();
        }
        sendAnswer(connection, head, request);
    }

    /** Does the work of a request. */
    void work(Http.Head head) throws InterruptedException {
        Thread.sleep(workMilliseconds);
    }

    /** Writes the answer to a request that has run. */
    void sendAnswer(Socket connection, Http.Head head, String request) throws IOException {
        byte[] content = ("served " + request + " by " + service).getBytes(StandardCharsets.UTF_8);
        Http.write(connection, answerHead(request, content.length), content);
    }

    String answerHead(String request, int length) {
        return "HTTP/1.1 200 OK\r\nX-Chivecourse-Request-Id: " + request + "\r\nX-Chivecourse-Response-Signature: sig-"
                + request + "\r\n" + load() + (leaving ? "Connection: close\r\n" : "") + "Content-Length: " + length
                + "\r\n\r\n";
    }

    private void refuse(Socket connection, String status, String request) throws IOException {
        Http.write(
                connection,
                "HTTP/1.1 " + status + "\r\nX-Chivecourse-Request-Id: " + request
                        + "\r\nX-Chivecourse-Not-Executed: 1\r\nX-Chivecourse-Instance-Id: " + identity
                        + "\r\n" + load() + "Content-Length: 0\r\n\r\n",
                new byte[0]);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (connections) {
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }
}
