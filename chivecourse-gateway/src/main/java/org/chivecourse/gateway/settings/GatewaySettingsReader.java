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

    /** The longest time in milliseconds that a setting takes. */
    private static final long MAXIMUM_TIME_MILLISECONDS = 3_600_000;

    /** The largest number of hosts. */
    private static final int MAXIMUM_HOSTS = 1000;

    /** The number of hosts where nothing else is said. */
    private static final int DEFAULT_HOSTS = 14;

    /** The largest number of threads. */
    private static final int MAXIMUM_THREADS = 64;

    /** The number of threads where nothing else is said. */
    private static final int DEFAULT_THREADS = Runtime.getRuntime().availableProcessors();

    /** The largest number of calls at the same time. */
    private static final int MAXIMUM_CALLS = 1_000_000;

    /** The largest number of steps that are kept for operators. */
    private static final int MAXIMUM_TRACE_STEPS = 1_000_000;

    /** The largest size of a body that is held, in bytes. */
    private static final int MAXIMUM_REPLAY_BYTES = 1024 * 1024;

    /** The smallest and largest size of a header, in bytes. */
    private static final int MINIMUM_HEADER_BYTES = 1024;

    /** The largest size of a header, in bytes. */
    private static final int MAXIMUM_HEADER_BYTES = 1024 * 1024;

    /** Not to be constructed. */
    private GatewaySettingsReader() {}

    /**
     * Reads settings from a file.
     *
     * @param path the file
     * @return the settings
     * @throws DocumentException if the file cannot be read or a value is not allowed
     */
    public static GatewaySettings read(Path path) throws DocumentException {
        return read(Document.read(path).collectProblems());
    }

    /**
     * Reads settings from a text.
     *
     * @param source the name of the text in errors
     * @param text the text
     * @return the settings
     * @throws DocumentException if a value is not allowed
     */
    public static GatewaySettings read(String source, String text) throws DocumentException {
        return read(Document.parse(source, text).collectProblems());
    }

    /**
     * Reads a document and refuses it with all its problems.
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
     * Reads the root.
     *
     * @param reader the reader of the root
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
        reader.rejectUnknownKeys();
        return settings;
    }

    /**
     * Reads an address to listen on.
     *
     * @param reader the reader of the endpoint
     * @return the endpoint
     * @throws DocumentException if a value is not allowed
     */
    private static Endpoint readEndpoint(MappingReader reader) throws DocumentException {
        String address = readListenAddress(reader);
        String certificate = readFileName(reader, "certificate");
        String key = readFileName(reader, "key");
        if (certificate.isEmpty() != key.isEmpty()) {
            String given = certificate.isEmpty() ? "key" : "certificate";
            reader.reportInvalidValue(given, "a certificate and a key together, or neither");
        }
        reader.rejectUnknownKeys();
        return new Endpoint(address, certificate, key);
    }

    /**
     * Reads an address to listen on.
     *
     * @param reader the reader of its holder
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
     * Reads the exchange with other gateways.
     *
     * @param reader the reader of the exchange
     * @return the exchange
     * @throws DocumentException if a value is not allowed
     */
    private static Peers readPeers(MappingReader reader) throws DocumentException {
        Peers peers = new Peers(readListenAddress(reader), readFileName(reader, "key-file"));
        reader.rejectUnknownKeys();
        return peers;
    }

    /**
     * Reads the name of a file that exists.
     *
     * @param reader the reader
     * @param key the key
     * @return the name, empty if the key is missing
     * @throws DocumentException if there is no such file
     */
    private static String readFileName(MappingReader reader, String key) throws DocumentException {
        String name = reader.text(key, "");
        if (!name.isEmpty() && !Files.isReadable(Path.of(name))) {
            reader.reportInvalidValue(key, "a file that can be read");
        }
        return name;
    }

    /**
     * Reads a list of addresses.
     *
     * @param reader the reader
     * @param key the key
     * @return the addresses
     * @throws DocumentException if the list is empty or holds something else
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
     * Reads the bounds on connections.
     *
     * @param reader the reader of the bounds
     * @return the bounds
     * @throws DocumentException if a value is not allowed
     */
    private static HttpSettings readHttp(MappingReader reader) throws DocumentException {
        HttpSettings defaults = HttpSettings.DEFAULT;
        int defaultHeaderBytes = defaults.maximumHeaderBytes();
        HttpSettings settings = new HttpSettings(
                (int) reader.integer(
                        "largest-header-bytes", MINIMUM_HEADER_BYTES, MAXIMUM_HEADER_BYTES, defaultHeaderBytes),
                reader.integer("largest-body-bytes", 0, Long.MAX_VALUE, defaults.maximumBodyBytes()),
                (int) reader.integer("replay-bytes", 0, MAXIMUM_REPLAY_BYTES, defaults.maximumReplayableBodyBytes()),
                readMilliseconds(reader, "read-timeout-milliseconds", defaults.readTimeout()),
                readMilliseconds(reader, "idle-timeout-milliseconds", defaults.idleTimeout()),
                readMilliseconds(reader, "connect-timeout-milliseconds", defaults.connectTimeout()),
                readMilliseconds(reader, "stall-timeout-milliseconds", defaults.stallTimeout()));
        reader.rejectUnknownKeys();
        return settings;
    }

    /**
     * Reads the bounds on idempotency keys.
     *
     * @param reader the reader of the bounds
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
     * Reads the times of a stop.
     *
     * @param reader the reader of the times
     * @return the times
     * @throws DocumentException if a value is not allowed
     */
    private static Drain readDrain(MappingReader reader) throws DocumentException {
        long linger = reader.integer(
                "linger-milliseconds",
                0,
                MAXIMUM_TIME_MILLISECONDS,
                Drain.DEFAULT.linger().toMillis());
        long deadline = reader.integer(
                "deadline-milliseconds",
                1,
                MAXIMUM_TIME_MILLISECONDS,
                Drain.DEFAULT.deadline().toMillis());
        if (deadline <= linger) {
            reader.reportInvalidValue("deadline-milliseconds", "more than linger-milliseconds, " + linger);
        }
        reader.rejectUnknownKeys();
        return new Drain(Duration.ofMillis(linger), Duration.ofMillis(deadline));
    }

    /**
     * Reads a time in milliseconds.
     *
     * @param reader the reader
     * @param key the key
     * @param defaultDuration the time for a missing key
     * @return the time
     * @throws DocumentException if the value is not allowed
     */
    private static Duration readMilliseconds(MappingReader reader, String key, Duration defaultDuration)
            throws DocumentException {
        return Duration.ofMillis(reader.integer(key, 1, MAXIMUM_TIME_MILLISECONDS, defaultDuration.toMillis()));
    }
}
