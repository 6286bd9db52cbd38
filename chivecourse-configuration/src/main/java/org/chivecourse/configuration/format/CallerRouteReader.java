package org.chivecourse.configuration.format;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.document.MappingReader;
import org.chivecourse.configuration.model.CallerLimits;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Idempotency;
import org.chivecourse.configuration.model.ServiceShare;

/** Reads the routes by host name and the limits for callers from a printed configuration. */
final class CallerRouteReader {

    /** The largest integer that fits the model; the rules check tighter ranges for most keys. */
    private static final long MAXIMUM_INTEGER = Integer.MAX_VALUE;

    /** Prevents instantiation. */
    private CallerRouteReader() {}

    /**
     * Reads the routes by host name. The target latency of a route defaults to its timeout.
     *
     * @param readers the readers of the routes
     * @return the routes in the order of the document
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    static List<CallerRoute> readRoutes(List<MappingReader> readers) throws DocumentException {
        List<CallerRoute> routes = new ArrayList<>();
        for (MappingReader reader : readers) {
            Duration timeout = readMilliseconds(reader, "timeout-milliseconds", CallerRoute.DEFAULT_TIMEOUT);
            routes.add(new CallerRoute(
                    reader.text("name"),
                    reader.text("host"),
                    reader.text("path-prefix"),
                    reader.enumConstant("idempotency", Idempotency.class, Idempotency.BY_METHOD),
                    timeout,
                    readMilliseconds(reader, "target-latency-milliseconds", timeout),
                    (int) reader.integer("rank", 0, MAXIMUM_INTEGER, CallerRoute.DEFAULT_RANK),
                    (int) reader.integer("attempts", 1, MAXIMUM_INTEGER, 1),
                    readShares(reader.mappings("services"))));
            reader.rejectUnknownKeys();
        }
        return routes;
    }

    /**
     * Reads the services of a route. The weight of a service defaults to one.
     *
     * @param readers the readers of the services
     * @return the services with their weights, in the order of the document
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    private static List<ServiceShare> readShares(List<MappingReader> readers) throws DocumentException {
        List<ServiceShare> shares = new ArrayList<>();
        for (MappingReader reader : readers) {
            shares.add(new ServiceShare(reader.text("name"), (int) reader.integer("weight", 0, MAXIMUM_INTEGER, 1)));
            reader.rejectUnknownKeys();
        }
        return shares;
    }

    /**
     * Reads the limits for callers. A missing limit is taken from {@link CallerLimits#UNBOUNDED}.
     *
     * @param reader the reader of the limits
     * @return the limits
     * @throws DocumentException if a key is unknown or has a value of the wrong type
     */
    static CallerLimits readLimits(MappingReader reader) throws DocumentException {
        CallerLimits defaults = CallerLimits.UNBOUNDED;
        CallerLimits limits = new CallerLimits(
                (int) reader.integer("largest-header-bytes", 1, MAXIMUM_INTEGER, defaults.largestHeaderBytes()),
                reader.integer("largest-body-bytes", 0, Long.MAX_VALUE, defaults.largestBodyBytes()),
                readMilliseconds(reader, "header-timeout-milliseconds", defaults.headerTimeout()),
                readMilliseconds(reader, "idle-timeout-milliseconds", defaults.idleTimeout()));
        reader.rejectUnknownKeys();
        return limits;
    }

    /**
     * Reads a duration of at least one millisecond.
     *
     * @param reader the reader of the mapping
     * @param key the key
     * @param defaultDuration the duration for a missing key
     * @return the duration
     * @throws DocumentException if the value is not an integer in the range
     */
    private static Duration readMilliseconds(MappingReader reader, String key, Duration defaultDuration)
            throws DocumentException {
        return Duration.ofMillis(reader.integer(key, 1, MAXIMUM_INTEGER, defaultDuration.toMillis()));
    }
}
