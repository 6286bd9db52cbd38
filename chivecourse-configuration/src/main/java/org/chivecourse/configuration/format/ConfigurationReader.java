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
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.configuration.rule.ConfigurationRules;
import org.chivecourse.configuration.rule.Finding;
import org.chivecourse.configuration.rule.Severity;

/** Reads printed configurations. */
public final class ConfigurationReader {

    /** The largest integer of a key whose range {@link ConfigurationRules} checks. */
    private static final long UNBOUNDED = Integer.MAX_VALUE;

    /**
     * Reads a configuration and refuses it for an invalid value.
     *
     * @param source the file or address the text was read from
     * @param text the printed form
     * @return the configuration with its dangerous findings
     * @throws DocumentException if the text does not have the shape of a configuration
     * @throws ConfigurationException if a rule is broken with {@link Severity#INVALID}
     */
    public ReadConfiguration read(String source, String text) throws DocumentException, ConfigurationException {
        Document document = Document.parse(source, text);
        Configuration configuration = configuration(document.root());
        List<Finding> findings = ConfigurationRules.INSTANCE.check(configuration);
        List<Finding> invalid = findings.stream()
                .filter(finding -> finding.severity() == Severity.INVALID)
                .toList();
        if (!invalid.isEmpty()) {
            throw new ConfigurationException(source, invalid, path -> ":" + document.line(path));
        }
        return new ReadConfiguration(new PrintedConfiguration(configuration, text), findings);
    }

    /**
     * Reads the root.
     *
     * @param reader the reader of the root
     * @return the configuration
     * @throws DocumentException if the shape is wrong
     */
    private static Configuration configuration(MappingReader reader) throws DocumentException {
        reader.integer("format", ConfigurationWriter.FORMAT, ConfigurationWriter.FORMAT);
        long revision = reader.integer("revision", 1, Long.MAX_VALUE);
        String parent = reader.text("parent", "");
        List<Service> services = new ArrayList<>();
        for (MappingReader service : reader.mappings("services")) {
            services.add(service(service));
        }
        List<CallerRoute> routes =
                reader.has("caller-routes") ? CallerRouteReader.routes(reader.mappings("caller-routes")) : List.of();
        CallerLimits callers = reader.has("caller-limits")
                ? CallerRouteReader.limits(reader.mapping("caller-limits"))
                : CallerLimits.UNBOUNDED;
        reader.finish();
        return new Configuration(revision, parent, services, routes, callers);
    }

    /**
     * Reads a service.
     *
     * @param reader the reader of the service
     * @return the service
     * @throws DocumentException if the shape is wrong
     */
    private static Service service(MappingReader reader) throws DocumentException {
        String name = reader.text("name");
        Service defaults = Service.named(name);
        Service service = new Service(
                name,
                reader.text("path-prefix", defaults.pathPrefix()),
                reader.choice("priority", Priority.class, defaults.priority()),
                limits(reader),
                reader.has("refusal") ? refusal(reader.mapping("refusal")) : RefusalSignal.NONE,
                reader.has("measuring") ? measuring(reader.mapping("measuring")) : MeasuringBudget.NONE,
                reader.has("routes") ? routes(reader.mappings("routes")) : List.of(),
                reader.has("backend-servers") ? servers(reader.mappings("backend-servers")) : List.of(),
                reader.has("discovery") ? discovery(reader.mapping("discovery")) : Discovery.NONE);
        reader.finish();
        return service;
    }

    /**
     * Reads how backend servers become known.
     *
     * @param reader the reader of the rule
     * @return the rule
     * @throws DocumentException if the shape is wrong
     */
    private static Discovery discovery(MappingReader reader) throws DocumentException {
        Discovery defaults = Discovery.DEFAULT;
        Discovery rule = new Discovery(true, reader.text("health-path", defaults.healthPath()), (int)
                reader.integer("connections", 1, UNBOUNDED, defaults.connections()));
        reader.finish();
        return rule;
    }

    /**
     * Reads the limits of a service.
     *
     * @param reader the reader of the service
     * @return the limits
     * @throws DocumentException if the shape is wrong
     */
    private static Limits limits(MappingReader reader) throws DocumentException {
        Limits defaults = Limits.DEFAULT;
        return new Limits(
                milliseconds(reader, "deadline-milliseconds", defaults.deadline()),
                (int) reader.integer("queue-limit", 0, UNBOUNDED, defaults.queueLimit()),
                (int) reader.integer("retry-budget-percent", 0, UNBOUNDED, defaults.retryBudgetPercent()));
    }

    /**
     * Reads a time in milliseconds.
     *
     * @param reader the reader
     * @param key the key
     * @param missing the time for a missing key
     * @return the time
     * @throws DocumentException if the value is not an integer
     */
    private static Duration milliseconds(MappingReader reader, String key, Duration missing) throws DocumentException {
        return Duration.ofMillis(reader.integer(key, 0, UNBOUNDED, missing.toMillis()));
    }

    /**
     * Reads a refusal signal.
     *
     * @param reader the reader of the signal
     * @return the signal
     * @throws DocumentException if the shape is wrong
     */
    private static RefusalSignal refusal(MappingReader reader) throws DocumentException {
        int status = (int) reader.integer("status", 1, UNBOUNDED);
        RefusalSignal signal = new RefusalSignal(status, reader.text("header"), reader.text("value"));
        reader.finish();
        return signal;
    }

    /**
     * Reads a measuring budget.
     *
     * @param reader the reader of the budget
     * @return the budget
     * @throws DocumentException if the shape is wrong
     */
    private static MeasuringBudget measuring(MappingReader reader) throws DocumentException {
        MeasuringBudget budget = new MeasuringBudget((int) reader.integer("probes-per-second", 0, UNBOUNDED), (int)
                reader.integer("slot-share-permille", 0, UNBOUNDED));
        reader.finish();
        return budget;
    }

    /**
     * Reads routes.
     *
     * @param readers the readers of the routes
     * @return the routes
     * @throws DocumentException if the shape is wrong
     */
    private static List<Route> routes(List<MappingReader> readers) throws DocumentException {
        List<Route> routes = new ArrayList<>();
        for (MappingReader reader : readers) {
            routes.add(new Route(
                    reader.choices("methods", Method.class),
                    reader.text("path-prefix"),
                    reader.choice("idempotency", Idempotency.class, Idempotency.BY_METHOD),
                    (int) reader.integer("attempts", 1, UNBOUNDED, 1),
                    reader.truth("hedged", false),
                    milliseconds(reader, "deadline-milliseconds", Duration.ZERO)));
            reader.finish();
        }
        return routes;
    }

    /**
     * Reads backend servers.
     *
     * @param readers the readers of the backend servers
     * @return the backend servers
     * @throws DocumentException if the shape is wrong
     */
    private static List<BackendServer> servers(List<MappingReader> readers) throws DocumentException {
        List<BackendServer> servers = new ArrayList<>();
        for (MappingReader reader : readers) {
            servers.add(new BackendServer(
                    reader.text("address"),
                    reader.text("data-centre"),
                    (int) reader.integer("slots", 0, UNBOUNDED, BackendServer.DEFAULT_SLOTS),
                    (int) reader.integer("connections", 0, UNBOUNDED, BackendServer.DEFAULT_CONNECTIONS),
                    reader.choice("mode", ServerMode.class, ServerMode.ACTIVE)));
            reader.finish();
        }
        return servers;
    }
}
