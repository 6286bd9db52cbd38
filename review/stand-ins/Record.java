import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Records what was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {

    private final BufferedWriter out;

    private final long start = System.nanoTime();

    /** The number of runs of each request. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    Record(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    long milliseconds() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void note(String text) {
        try {
            out.write(milliseconds() + " " + text + "\n");
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    void run(String request, String server, String service, String line) {
        runs.computeIfAbsent(String.valueOf(request), key -> new AtomicInteger()).incrementAndGet();
        note("run " + request + " at " + server + " of " + service + " " + line);
    }

    int runsOf(String request) {
        AtomicInteger count = runs.get(request);
        return count == null ? 0 : count.get();
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }
}
