package org.chivecourse.configuration.format;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.List;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.CallerLimits;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.model.ServiceShare;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.configuration.rule.ConfigurationRules;
import org.chivecourse.configuration.rule.Finding;

/** Prints configurations as YAML. Equal configurations are printed identically, so that they have the same digest. */
public final class ConfigurationWriter {

    /** The version of the printed format, which readers check before they read anything else. */
    public static final int FORMAT_VERSION = 1;

    /** Writes trees as YAML with minimal quotes and without splitting long lines. */
    private final YAMLMapper mapper = new YAMLMapper(YAMLFactory.builder()
            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
            .disable(YAMLGenerator.Feature.SPLIT_LINES)
            .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
            .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
            .build());

    /**
     * Prints a configuration after checking its rules.
     *
     * @param configuration the configuration
     * @return the printed configuration
     * @throws ConfigurationException if a rule is violated, even if only with a dangerous finding
     */
    public PrintedConfiguration print(Configuration configuration) throws ConfigurationException {
        List<Finding> findings = ConfigurationRules.INSTANCE.check(configuration);
        if (!findings.isEmpty()) {
            String source = "configuration revision " + configuration.revision();
            throw new ConfigurationException(source, findings, path -> "");
        }
        return new PrintedConfiguration(configuration, printUnchecked(configuration));
    }

    /**
     * Prints a configuration that replaces a previous one and has a higher revision.
     *
     * @param configuration the configuration, whose parent digest is replaced
     * @param previous the printed configuration that it replaces
     * @return the printed configuration, with the digest of the previous one as its parent
     * @throws ConfigurationException if a rule is violated or the revision is not higher
     */
    public PrintedConfiguration print(Configuration configuration, PrintedConfiguration previous)
            throws ConfigurationException {
        long minimumRevision = previous.configuration().revision() + 1;
        if (configuration.revision() < minimumRevision) {
            throw RevisionRule.createException(configuration.revision(), minimumRevision);
        }
        return print(configuration.following(configuration.revision(), previous.digest()));
    }

    /**
     * Prints a configuration without checking its rules.
     *
     * @param configuration the configuration
     * @return the configuration as YAML
     */
    public String printUnchecked(Configuration configuration) {
        try {
            return mapper.writeValueAsString(toTree(configuration));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("the configuration could not be written as YAML", exception);
        }
    }

    /**
     * Returns a configuration as a tree. Optional parts are left out if they are empty or have their default value.
     *
     * @param configuration the configuration
     * @return the root of the tree
     */
    private ObjectNode toTree(Configuration configuration) {
        ObjectNode root = mapper.createObjectNode();
        root.put("format", FORMAT_VERSION);
        root.put("revision", configuration.revision());
        if (!configuration.parentDigest().isEmpty()) {
            root.put("parent", configuration.parentDigest());
        }
        ArrayNode services = root.putArray("services");
        configuration.services().forEach(service -> addFields(services.addObject(), service));
        if (!configuration.callerRoutes().isEmpty()) {
            ArrayNode routes = root.putArray("caller-routes");
            configuration.callerRoutes().forEach(route -> addFields(routes.addObject(), route));
        }
        if (!configuration.callerLimits().equals(CallerLimits.UNBOUNDED)) {
            addFields(root.putObject("caller-limits"), configuration.callerLimits());
        }
        if (!configuration.evacuatedDataCentres().isEmpty()) {
            ArrayNode evacuated = root.putArray("evacuated-data-centres");
            configuration.evacuatedDataCentres().forEach(evacuated::add);
        }
        return root;
    }

    /**
     * Adds the fields of a service.
     *
     * @param node the node of the service
     * @param service the service
     */
    private static void addFields(ObjectNode node, Service service) {
        node.put("name", service.name());
        node.put("path-prefix", service.pathPrefix());
        node.put("priority", ConstantNames.of(service.priority()));
        node.put("deadline-milliseconds", service.limits().deadline().toMillis());
        node.put("queue-limit", service.limits().queueLimit());
        node.put("retry-budget-percent", service.limits().retryBudgetPercent());
        addFields(node, service.refusal());
        ObjectNode measuring = node.putObject("measuring");
        measuring.put("probes-per-second", service.measuring().probesPerSecond());
        measuring.put("slot-share-permille", service.measuring().slotSharePermille());
        ArrayNode routes = node.putArray("routes");
        service.routes().forEach(route -> addFields(routes.addObject(), route));
        ArrayNode servers = node.putArray("backend-servers");
        service.backendServers().forEach(server -> addFields(servers.addObject(), server));
        if (service.discovery().announced()) {
            ObjectNode discovery = node.putObject("discovery");
            discovery.put("health-path", service.discovery().healthPath());
            discovery.put("connections", service.discovery().connections());
        }
        if (service.warmUp().required()) {
            ObjectNode warmUp = node.putObject("warm-up");
            warmUp.put("milliseconds", service.warmUp().duration().toMillis());
            warmUp.put("requests-per-second", service.warmUp().requestsPerSecond());
        }
    }

    /**
     * Adds the fields of a route by host name.
     *
     * @param node the node of the route
     * @param route the route
     */
    private static void addFields(ObjectNode node, CallerRoute route) {
        node.put("name", route.name());
        node.put("host", route.host());
        node.put("path-prefix", route.pathPrefix());
        node.put("idempotency", ConstantNames.of(route.idempotency()));
        node.put("timeout-milliseconds", route.timeout().toMillis());
        node.put("target-latency-milliseconds", route.targetLatency().toMillis());
        node.put("rank", route.rank());
        node.put("attempts", route.attempts());
        ArrayNode services = node.putArray("services");
        for (ServiceShare share : route.services()) {
            ObjectNode shareNode = services.addObject();
            shareNode.put("name", share.service());
            shareNode.put("weight", share.weight());
        }
    }

    /**
     * Adds the fields of the limits for callers.
     *
     * @param node the node of the limits
     * @param limits the limits
     */
    private static void addFields(ObjectNode node, CallerLimits limits) {
        node.put("largest-header-bytes", limits.largestHeaderBytes());
        node.put("largest-body-bytes", limits.largestBodyBytes());
        node.put("header-timeout-milliseconds", limits.headerTimeout().toMillis());
        node.put("idle-timeout-milliseconds", limits.idleTimeout().toMillis());
    }

    /**
     * Adds the refusal signal of a service if it declares one.
     *
     * @param node the node of the service
     * @param signal the signal
     */
    private static void addFields(ObjectNode node, RefusalSignal signal) {
        if (!signal.declared()) {
            return;
        }
        ObjectNode refusal = node.putObject("refusal");
        refusal.put("status", signal.status());
        refusal.put("header", signal.header());
        refusal.put("value", signal.value());
    }

    /**
     * Adds the fields of a route of a service.
     *
     * @param node the node of the route
     * @param route the route
     */
    private static void addFields(ObjectNode node, Route route) {
        ArrayNode methods = node.putArray("methods");
        for (Method method : route.methods()) {
            methods.add(ConstantNames.of(method));
        }
        node.put("path-prefix", route.pathPrefix());
        node.put("idempotency", ConstantNames.of(route.idempotency()));
        node.put("attempts", route.attempts());
        node.put("hedged", route.hedged());
        node.put("deadline-milliseconds", route.deadline().toMillis());
    }

    /**
     * Adds the fields of a backend server.
     *
     * @param node the node of the backend server
     * @param server the backend server
     */
    private static void addFields(ObjectNode node, BackendServer server) {
        node.put("address", server.address());
        node.put("data-centre", server.dataCentre());
        node.put("slots", server.slots());
        node.put("connections", server.connections());
        node.put("mode", ConstantNames.of(server.mode()));
    }
}
