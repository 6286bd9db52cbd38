package org.chivecourse.gateway.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.chivecourse.configuration.document.Document;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.document.MappingReader;
import org.chivecourse.configuration.rule.Address;
import org.chivecourse.coordination.choice.ChoicePolicy;
import org.chivecourse.coordination.host.HostSettings.KeyLimits;
import org.chivecourse.gateway.settings.GatewaySettings.Drain;
import org.chivecourse.gateway.settings.GatewaySettings.Endpoint;
import org.chivecourse.gateway.settings.GatewaySettings.Peers;
import org.chivecourse.transport.http.HttpSettings;

/** Reads and checks the settings of a gateway. */
public final class GatewaySettingsReader {

    /** The maximum of a time in the settings, in milliseconds. */
    private static final long MAXIMUM_TIME_MILLISECONDS = 3_600_000;

    /** The maximum of {@code grace-seconds}. */
    private static final double MAXIMUM_GRACE_SECONDS = 3600;

    /** The longest part of the platform's grace period that a stopping process needs to end after its drain. */
    private static final long MAXIMUM_GRACE_MARGIN_MILLISECONDS = 500;

    /** The share of the platform's grace period that is kept for this at most. */
    private static final long GRACE_MARGIN_DIVISOR = 12;

    /** The share of the drain deadline that the linger time takes at most if the platform's grace period sets it. */
    private static final long LINGER_DIVISOR = 2;

    /** The number of milliseconds in a second. */
    private static final long MILLISECONDS_PER_SECOND = 1000;

    /** The maximum of {@code expected-hosts}. */
    private static final int MAXIMUM_HOSTS = 1000;

    /** The number of expected hosts if the settings do not state one. */
    private static final int DEFAULT_HOSTS = 14;

    /** The maximum number of threads for connections. */
    private static final int MAXIMUM_THREADS = 64;

    /** The number of threads if the settings do not state one: one for each processor. */
    private static final int DEFAULT_THREADS = Runtime.getRuntime().availableProcessors();

    /** The maximum of {@code largest-calls} and of {@code keys.largest-number}. */
    private static final int MAXIMUM_CALLS = 1_000_000;

    /** The maximum number of steps of the decision core that are kept for {@code /trace}. */
    private static final int MAXIMUM_TRACE_STEPS = 1_000_000;

    /** The maximum size of a request body that is kept for a retry, in bytes. */
    private static final int MAXIMUM_REPLAY_BYTES = 1024 * 1024;

    /** The minimum of the bound on a message's header, in bytes. */
    private static final int MINIMUM_HEADER_BYTES = 1024;

    /** The maximum of the bound on a message's header, in bytes. */
    private static final int MAXIMUM_HEADER_BYTES = 1024 * 1024;

    /** The maximum of {@code largest-connections} and {@code largest-sockets}. */
    private static final long MAXIMUM_CONNECTIONS = 1_000_000;

    /** The maximum of {@code link-megabits-per-second}. */
    private static final double MAXIMUM_LINK_MEGABITS = 1_000_000;

    /** The number of bytes in a megabit. */
    private static final double BYTES_PER_MEGABIT = 125_000;

    /** Prevents instantiation. */
    private GatewaySettingsReader() {}

    /**
     * Reads settings from a YAML file.
     *
     * @param path the file
     * @return the settings
     * @throws DocumentException if the file cannot be read or a value is not allowed
     */
    public static GatewaySettings read(Path path) throws DocumentException {
        return read(Document.read(path).collectProblems());
    }

    /**
     * Reads settings from a YAML text.
     *
     * @param source the name of the text in error messages
     * @param text the text
     * @return the settings
     * @throws DocumentException if a value is not allowed
     */
    public static GatewaySettings read(String source, String text) throws DocumentException {
        return read(Document.parse(source, text).collectProblems());
    }

    /**
     * Reads a document. All problems are reported in one exception.
     *
     * @param document the document, which collects problems
     * @return the settings
     * @throws DocumentException if values are not allowed
     */
    private static GatewaySettings read(Document document) throws DocumentException {
        GatewaySettings settings = read(document.rootReader());
        document.throwCollectedProblems();
        return settings;
    }

    /**
     * Reads the root mapping.
     *
     * @param reader the reader of the root mapping
     * @return the settings
     * @throws DocumentException if a value is not allowed
     */
    private static GatewaySettings read(MappingReader reader) throws DocumentException {
        GatewaySettings settings = new GatewaySettings(
                reader.text("name"),
                reader.text("data-centre"),
                readEndpoint(reader.mapping("callers")),
                readEndpoint(reader.mapping("operators")),
                reader.has("peers") ? readPeers(reader.mapping("peers")) : null,
                reader.has("fleet") ? List.of() : readAddresses(reader, "configuration-service"),
                reader.has("fleet") ? List.of() : readAddresses(reader, "host-list"),
                (int) reader.integer("expected-hosts", 1, MAXIMUM_HOSTS, DEFAULT_HOSTS),
                reader.enumConstant("choice", ChoicePolicy.class, ChoicePolicy.LEAST_ESTIMATE),
                reader.has("http") ? readHttp(reader.mapping("http")) : HttpSettings.DEFAULT,
                (int) reader.integer("largest-calls", 1, MAXIMUM_CALLS, 10_000),
                reader.has("keys") ? readKeyLimits(reader.mapping("keys")) : KeyLimits.DEFAULT,
                (int) reader.integer("trace-steps", 0, MAXIMUM_TRACE_STEPS, 2_000),
                reader.has("drain") ? readDrain(reader.mapping("drain")) : Drain.DEFAULT,
                reader.has("fleet") ? FleetSettingsReader.read(reader.mapping("fleet")) : null,
                (int) reader.integer("threads", 1, MAXIMUM_THREADS, DEFAULT_THREADS),
                readFileName(reader, "backend-trust"));
        String callers = settings.callers().address();
        if (callers.equals(settings.operators().address()) && !callers.endsWith(":0")) {
            reader.reportInvalidValue("operators", "an address other than that of callers, \"" + callers + "\"");
        }
        boolean forwarding = settings.fleet() != null
                && !settings.fleet().forwardingAddress().isEmpty();
        if (forwarding && !settings.backendTrust().isEmpty()) {
            reader.reportInvalidValue("backend-trust", "empty, since gateways forward requests without TLS");
        }
        reader.rejectUnknownKeys();
        return settings;
    }

    /**
     * Reads an endpoint. A certificate and its key must be given together.
     *
     * @param reader the reader of the endpoint's mapping
     * @return the endpoint
     * @throws DocumentException if a value is not allowed
     */
    private static Endpoint readEndpoint(MappingReader reader) throws DocumentException {
        String address = readListenAddress(reader);
        String certificate = readFileName(reader, "certificate");
        String key = readFileName(reader, "key");
        if (certificate.isEmpty() != key.isEmpty()) {
            String presentKey = certificate.isEmpty() ? "key" : "certificate";
            reader.reportInvalidValue(presentKey, "a certificate and a key together, or neither");
        }
        reader.rejectUnknownKeys();
        return new Endpoint(address, certificate, key);
    }

    /**
     * Reads an address to listen on, whose port may be 0 for any free port.
     *
     * @param reader the reader of the mapping that holds the key {@code address}
     * @return the address
     * @throws DocumentException if the address is not allowed
     */
    private static String readListenAddress(MappingReader reader) throws DocumentException {
        String address = reader.text("address");
        boolean anyPort = address.endsWith(":0") && Address.isValid(address.substring(0, address.length() - 1) + "1");
        if (!anyPort && !Address.isValid(address)) {
            reader.reportInvalidValue("address", Address.ALLOWED_FORMAT + ", or port 0 for any free port");
        }
        return address;
    }

    /**
     * Reads the endpoint for other gateways.
     *
     * @param reader the reader of the mapping {@code peers}
     * @return the endpoint
     * @throws DocumentException if a value is not allowed
     */
    private static Peers readPeers(MappingReader reader) throws DocumentException {
        Peers peers = new Peers(readListenAddress(reader), readFileName(reader, "key-file"));
        reader.rejectUnknownKeys();
        return peers;
    }

    /**
     * Reads the name of a file, which must be readable.
     *
     * @param reader the reader of the mapping that holds the key
     * @param key the key
     * @return the name, empty if the key is missing
     * @throws DocumentException if the file cannot be read
     */
    private static String readFileName(MappingReader reader, String key) throws DocumentException {
        String name = reader.text(key, "");
        if (!name.isEmpty() && !Files.isReadable(Path.of(name))) {
            reader.reportInvalidValue(key, "a file that can be read");
        }
        return name;
    }

    /**
     * Reads a list of at least one address.
     *
     * @param reader the reader of the mapping that holds the key
     * @param key the key
     * @return the addresses
     * @throws DocumentException if the list is empty or an item is not an address
     */
    private static List<String> readAddresses(MappingReader reader, String key) throws DocumentException {
        List<String> addresses = reader.texts(key);
        if (addresses.isEmpty()) {
            reader.reportInvalidValue(key, "at least one address");
        }
        for (String address : addresses) {
            if (!Address.isValid(address)) {
                reader.reportInvalidValue(
                        key, "a list of which each item is " + Address.ALLOWED_FORMAT + ", not \"" + address + "\"");
            }
        }
        return addresses;
    }

    /**
     * Reads the bounds on connections and messages.
     *
     * @param reader the reader of the mapping {@code http}
     * @return the bounds
     * @throws DocumentException if a value is not allowed
     */
    private static HttpSettings readHttp(MappingReader reader) throws DocumentException {
        HttpSettings defaults = HttpSettings.DEFAULT;
        int defaultHeaderBytes = defaults.maximumHeaderBytes();
        HttpSettings settings = new HttpSettings(
                (int) reader.integer(
                        "largest-header-bytes", MINIMUM_HEADER_BYTES, MAXIMUM_HEADER_BYTES, defaultHeaderBytes),
                (int) reader.integer("largest-header-lines", 1, MAXIMUM_HEADER_BYTES, defaults.maximumHeaderLines()),
                reader.integer("largest-body-bytes", 0, Long.MAX_VALUE, defaults.maximumBodyBytes()),
                (int) reader.integer("replay-bytes", 0, MAXIMUM_REPLAY_BYTES, defaults.maximumReplayableBodyBytes()),
                (int) reader.integer("largest-connections", 0, MAXIMUM_CONNECTIONS, defaults.maximumConnections()),
                (int) reader.integer("largest-sockets", 0, MAXIMUM_CONNECTIONS, defaults.maximumSockets()),
                readMilliseconds(reader, "head-timeout-milliseconds", defaults.headTimeout()),
                readMilliseconds(reader, "read-timeout-milliseconds", defaults.readTimeout()),
                readMilliseconds(reader, "idle-timeout-milliseconds", defaults.idleTimeout()),
                readMilliseconds(reader, "connect-timeout-milliseconds", defaults.connectTimeout()),
                readMilliseconds(reader, "stall-timeout-milliseconds", defaults.stallTimeout()),
                (long) (BYTES_PER_MEGABIT * reader.number("link-megabits-per-second", 0, MAXIMUM_LINK_MEGABITS, 0)));
        reader.rejectUnknownKeys();
        return settings;
    }

    /**
     * Reads the bounds on idempotency keys.
     *
     * @param reader the reader of the mapping {@code keys}
     * @return the bounds
     * @throws DocumentException if a value is not allowed
     */
    private static KeyLimits readKeyLimits(MappingReader reader) throws DocumentException {
        KeyLimits defaults = KeyLimits.DEFAULT;
        long defaultLifetimeMilliseconds = TimeUnit.NANOSECONDS.toMillis(defaults.lifetimeNanoseconds());
        KeyLimits limits = new KeyLimits(
                TimeUnit.MILLISECONDS.toNanos(reader.integer(
                        "lifetime-milliseconds", 1, MAXIMUM_TIME_MILLISECONDS, defaultLifetimeMilliseconds)),
                (int) reader.integer("largest-number", 1, MAXIMUM_CALLS, defaults.maximumKeys()));
        reader.rejectUnknownKeys();
        return limits;
    }

    /**
     * Reads the times of a stop. The deadline must be later than the end of the linger time. If the platform's grace
     * period is stated, it sets the deadline and limits the linger time.
     *
     * @param reader the reader of the mapping {@code drain}
     * @return the times
     * @throws DocumentException if a value is not allowed
     */
    private static Drain readDrain(MappingReader reader) throws DocumentException {
        long linger = reader.integer(
                "linger-milliseconds",
                0,
                MAXIMUM_TIME_MILLISECONDS,
                Drain.DEFAULT.linger().toMillis());
        long statedDeadline = reader.integer(
                "deadline-milliseconds",
                1,
                MAXIMUM_TIME_MILLISECONDS,
                Drain.DEFAULT.deadline().toMillis());
        double graceSeconds = reader.number("grace-seconds", 0, MAXIMUM_GRACE_SECONDS, 0);
        if (graceSeconds == 0 && statedDeadline <= linger) {
            reader.reportInvalidValue("deadline-milliseconds", "more than linger-milliseconds, " + linger);
        }
        reader.rejectUnknownKeys();
        return graceSeconds == 0
                ? new Drain(Duration.ofMillis(linger), Duration.ofMillis(statedDeadline))
                : drainWithinGrace((long) (graceSeconds * MILLISECONDS_PER_SECOND), linger);
    }

    /**
     * Returns the times of a stop that ends within the platform's grace period.
     *
     * @param graceMilliseconds the grace period
     * @param linger the stated linger time in milliseconds
     * @return the times
     */
    private static Drain drainWithinGrace(long graceMilliseconds, long linger) {
        long margin = Math.min(MAXIMUM_GRACE_MARGIN_MILLISECONDS, graceMilliseconds / GRACE_MARGIN_DIVISOR);
        long deadline = Math.max(1, graceMilliseconds - margin);
        return new Drain(Duration.ofMillis(Math.min(linger, deadline / LINGER_DIVISOR)), Duration.ofMillis(deadline));
    }

    /**
     * Reads a time in milliseconds.
     *
     * @param reader the reader of the mapping that holds the key
     * @param key the key
     * @param defaultDuration the time if the key is missing
     * @return the time
     * @throws DocumentException if the value is not allowed
     */
    private static Duration readMilliseconds(MappingReader reader, String key, Duration defaultDuration)
            throws DocumentException {
        return Duration.ofMillis(reader.integer(key, 1, MAXIMUM_TIME_MILLISECONDS, defaultDuration.toMillis()));
    }
}
