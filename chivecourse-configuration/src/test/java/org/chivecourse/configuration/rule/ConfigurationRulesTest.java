package org.chivecourse.configuration.rule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.chivecourse.configuration.TestConfigurations;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Limits;
import org.chivecourse.configuration.model.MeasuringBudget;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.configuration.model.RefusalSignal;
import org.chivecourse.configuration.model.Route;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.model.WarmUp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against invalid values that pass the rules, and against findings that do not locate the value. */
class ConfigurationRulesTest {

    private static final Service JOBS = TestConfigurations.jobs();

    @Test
    void reportsNothingForValidConfiguration() {
        assertThat(ConfigurationRules.INSTANCE.check(TestConfigurations.small(1)), empty());
    }

    @ParameterizedTest
    @MethodSource("invalidConfigurations")
    void reportsInvalidValueAndWhatIsAllowed(Configuration configuration, String path, String problem) {
        List<Finding> findings = ConfigurationRules.INSTANCE.check(configuration);
        assertThat(findings, hasSize(1));
        assertThat(findings.get(0).path(), equalTo(path));
        assertThat(findings.get(0).problem(), containsString(problem));
    }

    static Stream<Arguments> invalidConfigurations() {
        BackendServer server = BackendServer.at("10.0.0.9:80").in("si-a");
        return Stream.of(
                invalidService(
                        JOBS.route(Route.of("/jobs/more", Method.POST).attempts(2)), "routes[2].attempts", "POST"),
                invalidService(JOBS.route(Route.of("/jobs/more", Method.PATCH).hedging()), "routes[2].hedged", "PATCH"),
                invalidService(
                        JOBS.route(Route.of("/jobs/more", Method.GET).attempts(6)), "routes[2].attempts", "1 to 5"),
                invalidService(JOBS.route(Route.of("/other", Method.GET)), "routes[2].path-prefix", "\"/jobs\""),
                invalidService(
                        JOBS.backendServer(BackendServer.at("10.0.0.1:80").in("si-a")), addressPath(), "used once"),
                invalidService(JOBS.backendServer(BackendServer.at("10.0.0.9").in("si-a")), addressPath(), "a port"),
                invalidService(
                        JOBS.backendServer(BackendServer.at("10.0.0.9:65536").in("si-a")), addressPath(), "65535"),
                invalidService(JOBS.backendServer(server.slots(0)), "backend-servers[2].slots", "1 to 100000"),
                invalidService(
                        JOBS.backendServer(server.connections(0)), "backend-servers[2].connections", "1 to 100000"),
                invalidService(JOBS.backendServer(server.in("")), "backend-servers[2].data-centre", "letters"),
                invalidService(
                        JOBS.limits(Limits.DEFAULT.deadline(Duration.ZERO)), "deadline-milliseconds", "1 to 600000"),
                invalidService(JOBS.limits(Limits.DEFAULT.queueLimit(-1)), "queue-limit", "0 to 100000"),
                invalidService(JOBS.limits(Limits.DEFAULT.retryBudgetPercent(101)), "retry-budget-percent", "0 to 100"),
                invalidService(JOBS.measuring(new MeasuringBudget(-1, 0)), "measuring.probes-per-second", "0 to 10000"),
                invalidService(
                        JOBS.measuring(new MeasuringBudget(0, 1001)), "measuring.slot-share-permille", "0 to 1000"),
                invalidService(JOBS.warmUp(new WarmUp(Duration.ZERO, 2)), "warm-up.milliseconds", "1 to 3600000"),
                invalidService(
                        JOBS.warmUp(new WarmUp(Duration.ofSeconds(3), -1)), "warm-up.requests-per-second", "0.01 to"),
                invalidService(
                        JOBS.warmUp(new WarmUp(Duration.ofSeconds(3), Double.NaN)),
                        "warm-up.requests-per-second",
                        "0.01 to"),
                invalidService(JOBS.refusal(new RefusalSignal(200, "Refused", "yes")), "refusal.status", "400 to 599"),
                invalidService(
                        JOBS.refusal(new RefusalSignal(503, "Bad name", "yes")), "refusal.header", "header field"),
                invalidService(JOBS.refusal(new RefusalSignal(503, "Refused", "")), "refusal.value", "one character"),
                invalidService(
                        JOBS.backendServers(List.of(server.leaving())),
                        "backend-servers",
                        "no active backend server left"),
                Arguments.of(evacuating("Si A"), "evacuated-data-centres[0]", "lower case"),
                Arguments.of(evacuating("si-a", "si-a"), "evacuated-data-centres[1]", "named once"),
                Arguments.of(evacuating("si-z"), "evacuated-data-centres[0]", "check its name"),
                Arguments.of(evacuating("si-a", "si-b"), "evacuated-data-centres", "service \"jobs\""),
                Arguments.of(Configuration.revision(1), "services", "at least one service"),
                Arguments.of(Configuration.revision(0).service(JOBS), "revision", "from 1"));
    }

    private static Configuration evacuating(String... dataCentres) {
        return TestConfigurations.small(1).evacuatedDataCentres(List.of(dataCentres));
    }

    private static String addressPath() {
        return "backend-servers[2].address";
    }

    private static Arguments invalidService(Service service, String path, String problem) {
        return Arguments.of(Configuration.revision(1).service(service), "services[0]." + path, problem);
    }
}
