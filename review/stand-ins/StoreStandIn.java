import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in of the platform's store: ranges, watches, a history that may be dropped, and a restore from a copy. */
final class StoreStandIn implements AutoCloseable {

    /** An item, or a tombstone if its value is {@code null}. */
    record Item(String key, byte[] value, long revision, long createRevision) {}

    /** A copy of the store's content. */
    record Copy(TreeMap<String, Item> items, List<Item> history, long revision) {}

    private static final int PAGE_ITEMS = 500;

    private static final int PAGE_BYTES = 1024 * 1024;

    private final ServerSocket listener;

    private final List<Socket> connections = new ArrayList<>();

    private TreeMap<String, Item> items = new TreeMap<>();

    private List<Item> history = new ArrayList<>();

    private long revision = 100;

    private long era = 1;

    private boolean away;

    private boolean closed;

    final AtomicLong calls = new AtomicLong();

    StoreStandIn(String address) throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 512);
        Threads.start("store", this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes an item and returns the revision that acknowledges it. */
    synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Removes an item and returns the revision that acknowledges it. */
    synchronized long remove(String key) {
        return write(key, null);
    }

    private long write(String key, byte[] value) {
        if (away) {
            throw new IllegalStateException("the store is away");
        }
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.createRevision());
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, item);
        }
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized long revision() {
        return revision;
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(items), new ArrayList<>(history), revision);
    }

    /** Ends all connections and answers nobody until the return. */
    synchronized void goAway() throws IOException {
        away = true;
        for (Socket connection : connections) {
            connection.close();
        }
        connections.clear();
        notifyAll();
    }

    /** Returns with the content that it had when it went away. */
    synchronized void comeBack() {
        away = false;
    }

    /** Returns from a copy: what was written since is gone, revisions go back and the era rises. */
    synchronized void comeBackFrom(Copy copy) {
        items = new TreeMap<>(copy.items());
        history = new ArrayList<>(copy.history());
        revision = copy.revision();
        era++;
        away = false;
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                synchronized (this) {
                    if (away || closed) {
                        connection.close();
                        continue;
                    }
                    connections.add(connection);
                }
                Threads.start("store-connection", () -> serve(connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                calls.incrementAndGet();
                answer(connection, head.target());
            }
        } catch (IOException | InterruptedException exception) {
            // The connection ended.
        } finally {
            synchronized (this) {
                connections.remove(connection);
            }
        }
    }

    private void answer(Socket connection, String target) throws IOException, InterruptedException {
        Map<String, String> query = query(target);
        Thread.sleep(4);
        String body;
        int status = 200;
        long answeredEra;
        if (target.startsWith("/api/kv-range")) {
            synchronized (this) {
                body = range(query);
                answeredEra = era;
            }
        } else if (target.startsWith("/api/kv-watch")) {
            synchronized (this) {
                body = watch(query);
                answeredEra = era;
            }
            status = body == null ? 410 : 200;
        } else {
            synchronized (this) {
                Item item = items.get(query.getOrDefault("Key", ""));
                body = item == null ? null : "{" + json(item) + ",\"CurrentRev\":" + revision + "}";
                answeredEra = era;
            }
            status = body == null ? 404 : 200;
        }
        byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
        String header = "HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\nStore-Era: " + answeredEra
                + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        Http.write(connection, header, bytes);
    }

    private String range(Map<String, String> query) {
        String prefix = query.getOrDefault("Prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder list = new StringBuilder();
        int count = 0;
        int size = 0;
        boolean more = false;
        for (Item item : items.values()) {
            if (!item.key().startsWith(prefix) || !after.isEmpty() && item.key().compareTo(after) <= 0) {
                continue;
            }
            if (count > 0 && (count >= PAGE_ITEMS || size + item.value().length > PAGE_BYTES)) {
                more = true;
                break;
            }
            list.append(count == 0 ? "{" : ",{").append(json(item)).append('}');
            count++;
            size += item.value().length;
        }
        return "{\"items\":[" + list + "],\"MorePages\":" + more + ",\"CurrentRev\":" + revision + "}";
    }

    private String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long wait = Math.min(30_000, Long.parseLong(query.getOrDefault("WaitMs", "0")));
        long start = System.nanoTime();
        long watchedEra = era;
        while (true) {
            if (after > revision || era != watchedEra) {
                return null;
            }
            StringBuilder events = new StringBuilder();
            for (Item item : history) {
                if (item.revision() > after && item.key().startsWith(query.getOrDefault("Prefix", ""))) {
                    events.append(events.length() == 0 ? "{" : ",{").append(json(item)).append('}');
                }
            }
            long left = wait - (System.nanoTime() - start) / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return "{\"events\":[" + events + "],\"CurrentRev\":" + revision + "}";
            }
            wait(left);
        }
    }

    private static String json(Item item) {
        String start = "\"Key\":\"" + item.key() + "\",\"Revision\":" + item.revision();
        return item.value() == null
                ? start + ",\"Tombstone\":true"
                : start + ",\"CreateRev\":" + item.createRevision() + ",\"Lease\":0,\"Value\":\""
                        + Base64.getEncoder().encodeToString(item.value()) + "\"";
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        if (start < 0) {
            return query;
        }
        for (String part : target.substring(start + 1).split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
        }
        goAway();
        listener.close();
    }
}
