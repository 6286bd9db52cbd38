package org.chivecourse.configuration.format;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chivecourse.configuration.document.Document;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.document.MappingReader;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.CallerLimits;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Discovery;
import org.chivecourse.configuration.model.Idempotency;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.MeasuringBudget;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.Priority;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.ServerMode;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.model.WarmUp;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.configuration.rule.ConfigurationRules;
import org.chivecourse.configuration.rule.Finding;
import org.chivecourse.configuration.rule.Severity;

/** Reads printed configurations and checks their rules. */
public final class ConfigurationReader {

    /** The largest integer that fits the model; {@link ConfigurationRules} checks tighter ranges for most keys. */
    private static final long MAXIMUM_INTEGER = Integer.MAX_VALUE;

    /**
     * Reads a configuration and rejects it if a value is invalid. Findings that are only dangerous are returned with
     * it.
     *
     * @param source the file or address that the text was read from
     * @param text the printed configuration
     * @return the configuration with its dangerous findings
     * @throws DocumentException if the text is not a YAML mapping, or a key is missing or unknown, or has a value of
     *     the wrong type
     * @throws ConfigurationException if a rule with severity {@link Severity#INVALID} is violated
     */
    public LoadedConfiguration read(String source, String text) throws DocumentException, ConfigurationException {
        Document document = Document.parse(source, text);
        Configuration configuration = readConfiguration(document.rootReader());
        List<Finding> findings = ConfigurationRules.INSTANCE.check(configuration);
        List<Finding> invalid = findings.stream()
                .filter(finding -> finding.severity() == Severity.INVALID)
                .toList();
        if (!invalid.isEmpty()) {
            throw new ConfigurationException(source, invalid, path -> ":" + document.line(path));
        }
        return new LoadedConfiguration(new PrintedConfiguration(configuration, text), findings);
    }

    /**
     * Reads a configuration.
     *
     * @param reader the reader of the root mapping
     * @return the configuration
     * @throws DocumentException if the format is not supported, or a key is missing or unknown, or has a value of the
     *     wrong type
     */
    private static Configuration readConfiguration(MappingReader reader) throws DocumentException {
        reader.integer("format", ConfigurationWriter.FORMAT_VERSION, ConfigurationWriter.FORMAT_VERSION);
        long revision = reader.integer("revision", 1, Long.MAX_VALUE);
        String parentDigest = reader.text("parent", "");
        List<Service> services = new ArrayList<>();
        for (MappingReader serviceReader : reader.mappings("services")) {
            services.add(readService(serviceReader));
        }
        List<CallerRoute> callerRoutes = reader.has("caller-routes")
                ? CallerRouteReader.readRoutes(reader.mappings("caller-routes"))
                : List.of();
        CallerLimits callerLimits = reader.has("caller-limits")
                ? CallerRouteReader.readLimits(reader.mapping("caller-limits"))
                : CallerLimits.UNBOUNDED;
        List<String> evacuated =
                reader.has("evacuated-data-centres") ? reader.texts("evacuated-data-centres") : List.of();
        reader.rejectUnknownKeys();
        return new Configuration(revision, parentDigest, services, callerRoutes, callerLimits, evacuated);
    }

    /**
     * Reads a service. Missing keys have the values of {@link Service#named}.
     *
     * @param reader the reader of the service
     * @return the service
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    private static Service readService(MappingReader reader) throws DocumentException {
        String name = reader.text("name");
        Service defaults = Service.named(name);
        Service service = new Service(
                name,
                reader.text("path-prefix", defaults.pathPrefix()),
                reader.enumConstant("priority", Priority.class, defaults.priority()),
                readLimits(reader),
                reader.has("refusal") ? readRefusalSignal(reader.mapping("refusal")) : RefusalSignal.NONE,
                reader.has("measuring") ? readMeasuringBudget(reader.mapping("measuring")) : MeasuringBudget.NONE,
                reader.has("routes") ? readRoutes(reader.mappings("routes")) : List.of(),
                reader.has("backend-servers") ? readServers(reader.mappings("backend-servers")) : List.of(),
                reader.has("discovery") ? readDiscovery(reader.mapping("discovery")) : Discovery.NONE,
                reader.has("warm-up") ? readWarmUp(reader.mapping("warm-up")) : WarmUp.NONE);
        reader.rejectUnknownKeys();
        return service;
    }

    /**
     * Reads the discovery of a service whose backend servers announce themselves.
     *
     * @param reader the reader of the discovery
     * @return the discovery
     * @throws DocumentException if a key is unknown or has a value of the wrong type
     */
    private static Discovery readDiscovery(MappingReader reader) throws DocumentException {
        Discovery defaults = Discovery.DEFAULT;
        Discovery discovery = new Discovery(true, reader.text("health-path", defaults.healthPath()), (int)
                reader.integer("connections", 1, MAXIMUM_INTEGER, defaults.connections()));
        reader.rejectUnknownKeys();
        return discovery;
    }

    /**
     * Reads the warm-up of the backend servers of a service, whose keys are all required.
     *
     * @param reader the reader of the warm-up
     * @return the warm-up
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    private static WarmUp readWarmUp(MappingReader reader) throws DocumentException {
        long milliseconds = reader.integer("milliseconds", 1, MAXIMUM_INTEGER);
        if (!reader.has("requests-per-second")) {
            reader.reportInvalidValue("requests-per-second", "a number");
        }
        double requestsPerSecond = reader.number("requests-per-second", 0, Double.MAX_VALUE, 0);
        reader.rejectUnknownKeys();
        return new WarmUp(Duration.ofMillis(milliseconds), requestsPerSecond);
    }

    /**
     * Reads the limits of a service, which are keys of the service itself.
     *
     * @param reader the reader of the service
     * @return the limits
     * @throws DocumentException if a value is not an integer in the range
     */
    private static Limits readLimits(MappingReader reader) throws DocumentException {
        Limits defaults = Limits.DEFAULT;
        return new Limits(
                readMilliseconds(reader, "deadline-milliseconds", defaults.deadline()),
                (int) reader.integer("queue-limit", 0, MAXIMUM_INTEGER, defaults.queueLimit()),
                (int) reader.integer("retry-budget-percent", 0, MAXIMUM_INTEGER, defaults.retryBudgetPercent()));
    }

    /**
     * Reads a duration, which may be zero.
     *
     * @param reader the reader of the mapping
     * @param key the key
     * @param defaultDuration the duration for a missing key
     * @return the duration
     * @throws DocumentException if the value is not an integer in the range
     */
    private static Duration readMilliseconds(MappingReader reader, String key, Duration defaultDuration)
            throws DocumentException {
        return Duration.ofMillis(reader.integer(key, 0, MAXIMUM_INTEGER, defaultDuration.toMillis()));
    }

    /**
     * Reads a refusal signal, whose keys are all required.
     *
     * @param reader the reader of the signal
     * @return the signal
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    private static RefusalSignal readRefusalSignal(MappingReader reader) throws DocumentException {
        int status = (int) reader.integer("status", 1, MAXIMUM_INTEGER);
        RefusalSignal signal = new RefusalSignal(status, reader.text("header"), reader.text("value"));
        reader.rejectUnknownKeys();
        return signal;
    }

    /**
     * Reads the probe budget of a service, whose keys are all required.
     *
     * @param reader the reader of the budget
     * @return the budget
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    private static MeasuringBudget readMeasuringBudget(MappingReader reader) throws DocumentException {
        MeasuringBudget budget =
                new MeasuringBudget((int) reader.integer("probes-per-second", 0, MAXIMUM_INTEGER), (int)
                        reader.integer("slot-share-permille", 0, MAXIMUM_INTEGER));
        reader.rejectUnknownKeys();
        return budget;
    }

    /**
     * Reads the routes of a service. By default, a request is sent once and a route has the deadline of its service.
     *
     * @param readers the readers of the routes
     * @return the routes in the order of the document
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    private static List<Route> readRoutes(List<MappingReader> readers) throws DocumentException {
        List<Route> routes = new ArrayList<>();
        for (MappingReader reader : readers) {
            routes.add(new Route(
                    reader.enumConstants("methods", Method.class),
                    reader.text("path-prefix"),
                    reader.enumConstant("idempotency", Idempotency.class, Idempotency.BY_METHOD),
                    (int) reader.integer("attempts", 1, MAXIMUM_INTEGER, 1),
                    reader.booleanValue("hedged", false),
                    readMilliseconds(reader, "deadline-milliseconds", Duration.ZERO)));
            reader.rejectUnknownKeys();
        }
        return routes;
    }

    /**
     * Reads the backend servers of a service.
     *
     * @param readers the readers of the backend servers
     * @return the backend servers in the order of the document
     * @throws DocumentException if a key is missing or unknown, or has a value of the wrong type
     */
    private static List<BackendServer> readServers(List<MappingReader> readers) throws DocumentException {
        List<BackendServer> servers = new ArrayList<>();
        for (MappingReader reader : readers) {
            servers.add(new BackendServer(
                    reader.text("address"),
                    reader.text("data-centre"),
                    (int) reader.integer("slots", 0, MAXIMUM_INTEGER, BackendServer.DEFAULT_SLOTS),
                    (int) reader.integer("connections", 0, MAXIMUM_INTEGER, BackendServer.DEFAULT_CONNECTIONS),
                    reader.enumConstant("mode", ServerMode.class, ServerMode.ACTIVE)));
            reader.rejectUnknownKeys();
        }
        return servers;
    }
}
