package org.chivecourse.configuration.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.ServerMode;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.model.ServiceShare;
import org.chivecourse.configuration.model.WarmUp;

/** Checks each value of a configuration, and values that depend on each other. */
public enum ConfigurationRules {
    /** The only instance. */
    INSTANCE;

    /** The maximum number of times that a request may be sent, including the first. */
    public static final int MAXIMUM_ATTEMPTS = 5;

    /** The longest deadline or timeout of a request, in milliseconds: ten minutes. */
    public static final long MAXIMUM_DEADLINE_MILLISECONDS = 600_000;

    /** The maximum number of slots, connections or waiting requests, and the maximum weight of a service in a route. */
    public static final int MAXIMUM_CAPACITY = 100_000;

    /** The maximum number of probes per second that a service may configure. */
    public static final int MAXIMUM_PROBES_PER_SECOND = 10_000;

    /** The longest warm-up of backend servers, in milliseconds: an hour. */
    public static final long MAXIMUM_WARM_UP_MILLISECONDS = 3_600_000;

    /** The lowest number of requests a second that a cold backend server may be configured to take. */
    public static final double MINIMUM_WARM_UP_REQUESTS_PER_SECOND = 0.01;

    /** The description of {@link #NAME_PATTERN} for error messages. */
    private static final String ALLOWED_NAME_FORMAT = "1 to 63 lower case letters, digits and hyphens";

    /** The pattern of the names of services and data centres. */
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    /** The pattern of the path prefixes of services and their routes. */
    private static final Pattern PATH_PREFIX_PATTERN = Pattern.compile("/[A-Za-z0-9._~/-]*");

    /** The pattern of header field names, a token as defined by RFC 9110. */
    private static final Pattern HEADER_NAME_PATTERN = Pattern.compile("[A-Za-z0-9!#$%&'*+.^_`|~-]+");

    /** The pattern of a SHA-256 digest in hexadecimal, or an empty text for a configuration without a parent. */
    private static final Pattern DIGEST_PATTERN = Pattern.compile("([0-9a-f]{64})?");

    /**
     * Checks all rules and does not stop at the first that is violated.
     *
     * @param configuration the configuration
     * @return the violated rules, invalid and dangerous ones, empty if there are none
     */
    public List<Finding> check(Configuration configuration) {
        Findings findings = new Findings();
        findings.requireRange("revision", configuration.revision(), 1, Long.MAX_VALUE);
        String parentDigest = configuration.parentDigest();
        findings.require(
                DIGEST_PATTERN.matcher(parentDigest).matches(), "parent", parentDigest, "64 hexadecimal digits");
        findings.require(!configuration.services().isEmpty(), "services", "[]", "at least one service");
        Set<String> names = new HashSet<>();
        Set<String> prefixes = new HashSet<>();
        Map<String, String> addresses = new HashMap<>();
        for (int index = 0; index < configuration.services().size(); index++) {
            Service service = configuration.services().get(index);
            String path = "services[" + index + "]";
            checkService(findings, path, service);
            findings.require(names.add(service.name()), path + ".name", service.name(), "a name used once");
            String prefix = service.pathPrefix();
            findings.require(prefixes.add(prefix), path + ".path-prefix", prefix, "a path prefix used once");
            checkServers(findings, path, service, addresses);
        }
        for (int index = 0; index < configuration.callerRoutes().size(); index++) {
            checkCallerRoute(
                    findings,
                    "caller-routes[" + index + "]",
                    configuration.callerRoutes().get(index),
                    names);
        }
        findings.list.addAll(RoutePathRules.INSTANCE.check(configuration.callerRoutes()));
        checkEvacuations(findings, configuration);
        return findings.list;
    }

    /**
     * Checks the evacuated data centres. Evacuations that leave a configured service without a backend server are
     * reported as dangerous, and so is one of a data centre without any, unless backend servers announce themselves.
     *
     * @param findings collects the violated rules
     * @param configuration the configuration
     */
    private static void checkEvacuations(Findings findings, Configuration configuration) {
        List<String> evacuated = configuration.evacuatedDataCentres();
        Set<String> dataCentres = new HashSet<>();
        boolean announced = false;
        for (Service service : configuration.services()) {
            announced |= service.discovery().announced();
            service.backendServers().forEach(server -> dataCentres.add(server.dataCentre()));
        }
        Set<String> names = new HashSet<>();
        for (int index = 0; index < evacuated.size(); index++) {
            String path = "evacuated-data-centres[" + index + "]";
            String name = evacuated.get(index);
            boolean valid = NAME_PATTERN.matcher(name).matches();
            findings.require(valid, path, name, ALLOWED_NAME_FORMAT);
            findings.require(names.add(name), path, name, "a data centre named once");
            if (valid && !announced && !dataCentres.contains(name)) {
                String problem = "data centre \"" + name + "\" has no backend server; check its name";
                findings.list.add(new Finding(Severity.DANGEROUS, path, problem));
            }
        }
        for (Service service : configuration.services()) {
            boolean emptied = !service.discovery().announced()
                    && !service.backendServers().isEmpty()
                    && service.backendServers().stream().allMatch(server -> names.contains(server.dataCentre()));
            if (emptied) {
                String problem = "all backend servers of service \"" + service.name() + "\" are in evacuated data"
                        + " centres, so that each of its requests would be refused";
                findings.list.add(new Finding(Severity.DANGEROUS, "evacuated-data-centres", problem));
            }
        }
    }

    /**
     * Checks the values of a service and its routes, except for its backend servers.
     *
     * @param findings collects the violated rules
     * @param path the path of the service in the printed configuration
     * @param service the service
     */
    private static void checkService(Findings findings, String path, Service service) {
        findings.require(
                NAME_PATTERN.matcher(service.name()).matches(), path + ".name", service.name(), ALLOWED_NAME_FORMAT);
        checkPrefix(findings, path, service.pathPrefix());
        checkLimits(findings, path, service.limits());
        int probes = service.measuring().probesPerSecond();
        findings.requireRange(path + ".measuring.probes-per-second", probes, 0, MAXIMUM_PROBES_PER_SECOND);
        int share = service.measuring().slotSharePermille();
        findings.requireRange(path + ".measuring.slot-share-permille", share, 0, 1000);
        checkRefusal(findings, path + ".refusal", service.refusal());
        checkWarmUp(findings, path + ".warm-up", service.warmUp());
        for (int index = 0; index < service.routes().size(); index++) {
            String routePath = path + ".routes[" + index + "]";
            checkRoute(findings, routePath, service, service.routes().get(index));
        }
    }

    /**
     * Checks the warm-up of a service, if it has one.
     *
     * @param findings collects the violated rules
     * @param path the path of the warm-up in the printed configuration
     * @param warmUp the warm-up
     */
    private static void checkWarmUp(Findings findings, String path, WarmUp warmUp) {
        if (!warmUp.required()) {
            return;
        }
        long milliseconds = warmUp.duration().toMillis();
        findings.requireRange(path + ".milliseconds", milliseconds, 1, MAXIMUM_WARM_UP_MILLISECONDS);
        double rate = warmUp.requestsPerSecond();
        boolean inRange = rate >= MINIMUM_WARM_UP_REQUESTS_PER_SECOND && rate <= MAXIMUM_CAPACITY;
        findings.require(
                inRange,
                path + ".requests-per-second",
                rate,
                "a number from " + MINIMUM_WARM_UP_REQUESTS_PER_SECOND + " to " + MAXIMUM_CAPACITY);
    }

    /**
     * Checks the limits of a service.
     *
     * @param findings collects the violated rules
     * @param path the path of the service in the printed configuration
     * @param limits the limits
     */
    private static void checkLimits(Findings findings, String path, Limits limits) {
        long deadline = limits.deadline().toMillis();
        findings.requireRange(path + ".deadline-milliseconds", deadline, 1, MAXIMUM_DEADLINE_MILLISECONDS);
        findings.requireRange(path + ".queue-limit", limits.queueLimit(), 0, MAXIMUM_CAPACITY);
        findings.requireRange(path + ".retry-budget-percent", limits.retryBudgetPercent(), 0, 100);
    }

    /**
     * Checks the path prefix of a service or of one of its routes.
     *
     * @param findings collects the violated rules
     * @param path the path of the service or route in the printed configuration
     * @param prefix the path prefix
     */
    private static void checkPrefix(Findings findings, String path, String prefix) {
        boolean valid = PATH_PREFIX_PATTERN.matcher(prefix).matches();
        findings.require(valid, path + ".path-prefix", prefix, "a slash and then letters, digits and . _ ~ / -");
    }

    /**
     * Checks a refusal signal if the service declares one. Its status has to be a client or server error.
     *
     * @param findings collects the violated rules
     * @param path the path of the signal in the printed configuration
     * @param signal the signal
     */
    private static void checkRefusal(Findings findings, String path, RefusalSignal signal) {
        if (!signal.declared()) {
            return;
        }
        findings.requireRange(path + ".status", signal.status(), 400, 599);
        boolean validName = HEADER_NAME_PATTERN.matcher(signal.header()).matches();
        findings.require(
                validName, path + ".header", signal.header(), "the name of a header field that refusals carry");
        findings.require(
                !signal.value().isEmpty(), path + ".value", signal.value(), "a text of at least one character");
    }

    /**
     * Checks a route of a service.
     *
     * @param findings collects the violated rules
     * @param path the path of the route in the printed configuration
     * @param service the service of the route
     * @param route the route
     */
    private static void checkRoute(Findings findings, String path, Service service, Route route) {
        checkPrefix(findings, path, route.pathPrefix());
        boolean belowService = route.pathPrefix().startsWith(service.pathPrefix());
        String allowedPrefix = "a path below the service's \"" + service.pathPrefix() + "\"";
        findings.require(belowService, path + ".path-prefix", route.pathPrefix(), allowedPrefix);
        findings.require(!route.methods().isEmpty(), path + ".methods", "[]", "at least one method");
        findings.requireRange(path + ".attempts", route.attempts(), 1, MAXIMUM_ATTEMPTS);
        long deadline = route.deadline().toMillis();
        findings.requireRange(path + ".deadline-milliseconds", deadline, 0, MAXIMUM_DEADLINE_MILLISECONDS);
        for (Method method : route.methods()) {
            checkRetries(findings, path, route, method);
        }
    }

    /**
     * Checks that a route retries and hedges only idempotent requests, because both could run a request twice.
     *
     * @param findings collects the violated rules
     * @param path the path of the route in the printed configuration
     * @param route the route
     * @param method one of the methods of the route
     */
    private static void checkRetries(Findings findings, String path, Route route, Method method) {
        if (route.idempotency().covers(method)) {
            return;
        }
        String reason = "because " + method + " requests of this route are not idempotent, so that a retry or hedge"
                + " could run the request twice; declare the route idempotent only if that has no further effect";
        findings.require(route.attempts() == 1, path + ".attempts", route.attempts(), "1, " + reason);
        findings.require(!route.hedged(), path + ".hedged", true, "false, " + reason);
    }

    /**
     * Checks a route by host name.
     *
     * @param findings collects the violated rules
     * @param path the path of the route in the printed configuration
     * @param route the route
     * @param serviceNames the names of all configured services
     */
    private static void checkCallerRoute(Findings findings, String path, CallerRoute route, Set<String> serviceNames) {
        findings.require(
                !route.host().isEmpty() && route.host().equals(route.host().toLowerCase(Locale.ROOT)),
                path + ".host",
                route.host(),
                "a host name in lower case");
        boolean validPrefix =
                route.pathPrefix().startsWith("/") && route.pathPrefix().endsWith("/");
        findings.require(
                validPrefix, path + ".path-prefix", route.pathPrefix(), "a path that begins and ends with a slash");
        findings.requireRange(path + ".attempts", route.attempts(), 1, MAXIMUM_ATTEMPTS);
        findings.requireRange(
                path + ".timeout-milliseconds", route.timeout().toMillis(), 1, MAXIMUM_DEADLINE_MILLISECONDS);
        findings.require(!route.services().isEmpty(), path + ".services", "[]", "at least one service");
        int weightSum = 0;
        for (ServiceShare share : route.services()) {
            boolean known = serviceNames.contains(share.service());
            findings.require(known, path + ".services", share.service(), "the name of a service");
            findings.requireRange(path + ".services", share.weight(), 0, MAXIMUM_CAPACITY);
            weightSum += share.weight();
        }
        findings.require(weightSum > 0, path + ".services", weightSum, "weights of which at least one is not zero");
    }

    /**
     * Checks the backend servers of a service. A service without an active backend server is reported as dangerous,
     * unless its backend servers announce themselves.
     *
     * @param findings collects the violated rules
     * @param path the path of the service in the printed configuration
     * @param service the service
     * @param addresses the addresses found so far, each with the name of the service that uses it; new ones are added
     */
    private static void checkServers(Findings findings, String path, Service service, Map<String, String> addresses) {
        boolean hasActiveServer = false;
        for (int index = 0; index < service.backendServers().size(); index++) {
            BackendServer server = service.backendServers().get(index);
            String serverPath = path + ".backend-servers[" + index + "]";
            hasActiveServer |= server.mode() == ServerMode.ACTIVE;
            checkServer(findings, serverPath, server);
            String otherService = addresses.putIfAbsent(server.address(), service.name());
            String allowed = "an address used once, but service \"" + otherService + "\" uses it already";
            findings.require(otherService == null, serverPath + ".address", server.address(), allowed);
        }
        if (!hasActiveServer && !service.discovery().announced()) {
            String problem = "service \"" + service.name() + "\" has no active backend server left, so that each of"
                    + " its requests would be refused; keep at least one active";
            findings.list.add(new Finding(Severity.DANGEROUS, path + ".backend-servers", problem));
        }
    }

    /**
     * Checks the values of a backend server.
     *
     * @param findings collects the violated rules
     * @param path the path of the backend server in the printed configuration
     * @param server the backend server
     */
    private static void checkServer(Findings findings, String path, BackendServer server) {
        findings.require(
                Address.isValid(server.address()), path + ".address", server.address(), Address.ALLOWED_FORMAT);
        boolean validName = NAME_PATTERN.matcher(server.dataCentre()).matches();
        findings.require(validName, path + ".data-centre", server.dataCentre(), ALLOWED_NAME_FORMAT);
        findings.requireRange(path + ".slots", server.slots(), 1, MAXIMUM_CAPACITY);
        findings.requireRange(path + ".connections", server.connections(), 1, MAXIMUM_CAPACITY);
    }

    /** Collects the violated rules. */
    private static final class Findings {

        /** The findings in the order in which they were added. */
        private final List<Finding> list = new ArrayList<>();

        /**
         * Adds an invalid finding unless a rule is met.
         *
         * @param met whether the rule is met
         * @param path the path of the value in the printed configuration
         * @param value the value
         * @param allowed the description of the allowed values
         */
        private void require(boolean met, String path, Object value, String allowed) {
            if (met) {
                return;
            }
            String problem = "value \"" + value + "\" is not allowed, allowed: " + allowed;
            list.add(new Finding(Severity.INVALID, path, problem));
        }

        /**
         * Adds an invalid finding unless a value lies in a range.
         *
         * @param path the path of the value in the printed configuration
         * @param value the value
         * @param minimum the smallest allowed value
         * @param maximum the largest allowed value
         */
        private void requireRange(String path, long value, long minimum, long maximum) {
            require(value >= minimum && value <= maximum, path, value, "an integer from " + minimum + " to " + maximum);
        }
    }
}
