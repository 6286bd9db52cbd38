package org.chivecourse.gateway.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.document.MappingReader;
import org.chivecourse.configuration.rule.Address;
import org.chivecourse.coordination.crossing.CrossingSettings;
import org.chivecourse.coordination.host.FleetSettings.RetryLimits;
import org.chivecourse.gateway.settings.GatewaySettings.Fleet;

/** Reads the settings of a fleet whose gateways find each other through seeds. */
final class FleetSettingsReader {

    /** The maximum of a time in the settings, in milliseconds. */
    private static final long MAXIMUM_TIME_MILLISECONDS = 3_600_000;

    /** The maximum of the retry budget's slack, in retries. */
    private static final int MAXIMUM_SLACK_RETRIES = 1_000_000;

    /** The maximum of the retry budget's window, in seconds. */
    private static final int MAXIMUM_WINDOW_SECONDS = 3_600_000;

    /** The maximum time that a caller may wait for each kilobyte that does not cross, in milliseconds. */
    private static final double MAXIMUM_CROSSING_MILLISECONDS_PER_KILOBYTE = 1000;

    /** The number of nanoseconds in a second. */
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** The interval between two probes of a backend server if the settings do not state one, in milliseconds. */
    private static final long DEFAULT_PROBE_INTERVAL_MILLISECONDS = 100;

    /** The timeout for opening a connection if the settings do not state one, in milliseconds. */
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 200;

    /** Prevents instantiation. */
    private FleetSettingsReader() {}

    /**
     * Reads the fleet's settings.
     *
     * @param reader the reader of the mapping {@code fleet}
     * @return the fleet's settings
     * @throws DocumentException if a value is not allowed
     */
    static Fleet read(MappingReader reader) throws DocumentException {
        String publisher = reader.text("publisher");
        if (!Address.isValid(publisher)) {
            reader.reportInvalidValue("publisher", Address.ALLOWED_FORMAT);
        }
        Fleet fleet = new Fleet(
                publisher,
                reader.has("seeds") ? readSeeds(reader) : List.of(),
                reader.has("repeats") ? readRetryBudget(reader.mapping("repeats")) : RetryLimits.DEFAULT,
                readMilliseconds(reader, "probe-interval-milliseconds", DEFAULT_PROBE_INTERVAL_MILLISECONDS),
                readMilliseconds(reader, "connect-timeout-milliseconds", DEFAULT_CONNECT_TIMEOUT_MILLISECONDS),
                readForwardingAddress(reader),
                reader.has("crossing") ? readCrossing(reader.mapping("crossing")) : null);
        reader.rejectUnknownKeys();
        return fleet;
    }

    /**
     * Reads what keeps calls in their data centre. Without a weight, time alone decides.
     *
     * @param reader the reader of the mapping {@code crossing}
     * @return the settings
     * @throws DocumentException if a value is not allowed
     */
    private static CrossingSettings readCrossing(MappingReader reader) throws DocumentException {
        CrossingSettings crossing = new CrossingSettings(
                reader.number("milliseconds-per-kilobyte", 0, MAXIMUM_CROSSING_MILLISECONDS_PER_KILOBYTE, 0));
        reader.rejectUnknownKeys();
        return crossing;
    }

    /**
     * Reads the address at which other gateways forward requests.
     *
     * @param reader the reader of the mapping {@code fleet}
     * @return the address, empty if the key is missing
     * @throws DocumentException if the value is not an address
     */
    private static String readForwardingAddress(MappingReader reader) throws DocumentException {
        String address = reader.text("forwarding-address", "");
        if (!address.isEmpty() && !Address.isValid(address)) {
            reader.reportInvalidValue("forwarding-address", Address.ALLOWED_FORMAT);
        }
        return address;
    }

    /**
     * Reads the addresses of the seeds.
     *
     * @param reader the reader of the mapping {@code fleet}
     * @return the addresses
     * @throws DocumentException if an item is not an address
     */
    private static List<String> readSeeds(MappingReader reader) throws DocumentException {
        List<String> seeds = new ArrayList<>();
        for (String address : reader.texts("seeds")) {
            if (!Address.isValid(address)) {
                reader.reportInvalidValue(
                        "seeds",
                        "a list of which each item is " + Address.ALLOWED_FORMAT + ", not \"" + address + "\"");
            }
            seeds.add(address);
        }
        return seeds;
    }

    /**
     * Reads the fleet's retry budget, which bounds the retries and hedges of all its gateways together. A fraction of a
     * retry cannot be used.
     *
     * @param reader the reader of the mapping {@code repeats}
     * @return the retry budget
     * @throws DocumentException if a value is not allowed
     */
    private static RetryLimits readRetryBudget(MappingReader reader) throws DocumentException {
        RetryLimits defaults = RetryLimits.DEFAULT;
        RetryLimits limits = new RetryLimits(
                reader.number("share", 0, 1, defaults.share()),
                (int) reader.number("slack", 0, MAXIMUM_SLACK_RETRIES, defaults.slack()),
                (long) (NANOSECONDS_PER_SECOND
                        * reader.number(
                                "window-seconds",
                                1,
                                MAXIMUM_WINDOW_SECONDS,
                                defaults.windowNanoseconds() / NANOSECONDS_PER_SECOND)));
        reader.rejectUnknownKeys();
        return limits;
    }

    /**
     * Reads a time in milliseconds.
     *
     * @param reader the reader of the mapping that holds the key
     * @param key the key
     * @param defaultMilliseconds the time if the key is missing, in milliseconds
     * @return the time
     * @throws DocumentException if the value is not allowed
     */
    private static Duration readMilliseconds(MappingReader reader, String key, long defaultMilliseconds)
            throws DocumentException {
        return Duration.ofMillis(reader.integer(key, 1, MAXIMUM_TIME_MILLISECONDS, defaultMilliseconds));
    }
}
