package org.chivecourse.gateway.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.coordination.crossing.CrossingSettings;
import org.chivecourse.coordination.host.FleetSettings.RetryLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against error messages that do not locate the fault, and against defaults that the example misstates. */
class GatewaySettingsReaderTest {

    private static final Path EXAMPLE = Path.of("..", "examples", "gateway.yaml");

    @Test
    void readsExample() throws Exception {
        GatewaySettings settings = GatewaySettingsReader.read(EXAMPLE);
        assertThat(settings.name(), equalTo("entry-1"));
        assertThat(settings.expectedHosts(), equalTo(14));
    }

    @Test
    void exampleMatchesDefaultsWhenSectionsAreOmitted() throws Exception {
        String shortened = "name: entry-1\ndata-centre: si-a\ncallers: {address: \"127.0.0.1:8080\"}\n"
                + "operators: {address: \"127.0.0.1:8081\"}\nconfiguration-service: [\"127.0.0.1:7000\"]\n"
                + "host-list: [\"127.0.0.1:7001\"]\nexpected-hosts: 14\n"
                + "peers: {address: \"127.0.0.1:8082\"}\n"
                + "drain: {linger-milliseconds: 5000, deadline-milliseconds: 60000}\n";
        assertThat(GatewaySettingsReader.read("short", shortened), equalTo(GatewaySettingsReader.read(EXAMPLE)));
    }

    /** The platform states bounds as whole numbers or fractions. */
    @Test
    void readsFractionsInRetryBudgetOfFleet() throws Exception {
        String settings = "name: entry-1\ndata-centre: si-a\ncallers: {address: \"127.0.0.1:8080\"}\n"
                + "operators: {address: \"127.0.0.1:8081\"}\npeers: {address: \"127.0.0.1:8082\"}\n"
                + "drain: {linger-milliseconds: 2500, deadline-milliseconds: 5500}\n"
                + "fleet: {publisher: \"127.0.0.1:7000\", seeds: [],"
                + " repeats: {share: 0.2, slack: 21.649484536082475, window-seconds: 7.5}}\n";
        assertThat(
                GatewaySettingsReader.read("fleet", settings).fleet().retryBudget(),
                equalTo(new RetryLimits(0.2, 21, 7_500_000_000L)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{milliseconds-per-kilobyte: 2.5} | 2.5", "{} | 0"})
    void readsWhatKeepsCallsInTheirDataCentre(String crossing, double millisecondsPerKilobyte) throws Exception {
        String settings = "name: entry-1\ndata-centre: si-a\ncallers: {address: \"127.0.0.1:8080\"}\n"
                + "operators: {address: \"127.0.0.1:8081\"}\npeers: {address: \"127.0.0.1:8082\"}\n"
                + "fleet: {publisher: \"127.0.0.1:7000\", seeds: [], crossing: " + crossing + "}\n";
        assertThat(
                GatewaySettingsReader.read("fleet", settings).fleet().crossing(),
                equalTo(new CrossingSettings(millisecondsPerKilobyte)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name: entry-1 | nam: entry-1 | name | missing",
                "name: entry-1 | name: '' | name | a text",
                "name: entry-1 | name: [entry-1] | name | a text",
                "data-centre: si-a | data-center: si-a | data-centre | missing",
                "address: 127.0.0.1:8080 | address: 127.0.0.1 | callers.address | a port",
                "address: 127.0.0.1:8080 | address: 127.0.0.1:99999 | callers.address | 65535",
                "address: 127.0.0.1:8080 | address: 127.0.0.1:8081 | operators | other than",
                "address: 127.0.0.1:8081 | adress: 127.0.0.1:8081 | operators.address | missing",
                "[\"127.0.0.1:7000\"] | [] | configuration-service | at least one",
                "[\"127.0.0.1:7000\"] | 127.0.0.1:7000 | configuration-service | a list",
                "[\"127.0.0.1:7000\"] | [nowhere] | configuration-service | a port",
                "[\"127.0.0.1:7001\"] | [{a: b}] | host-list | a list of texts",
                "expected-hosts: 14 | expected-hosts: 0 | expected-hosts | 1 to 1000",
                "expected-hosts: 14 | expected-hosts: many | expected-hosts | 1 to 1000",
                "choice: least-estimate | choice: best | choice | one of random",
                "largest-calls: 10000 | largest-calls: -1 | largest-calls | 1 to 1000000",
                "trace-steps: 2000 | trace-steps: 2.5 | trace-steps | 0 to 1000000",
                "trace-steps: 2000 | trace-step: 2000 | trace-step | unknown key",
                "lifetime-milliseconds: 60000 | lifetime-milliseconds: 0 | keys.lifetime-milliseconds | 1 to 3600000",
                "largest-number: 100000 | largest-number: none | keys.largest-number | 1 to 1000000",
                "header-bytes: 16384 | header-bytes: 10 | http.largest-header-bytes | 1024 to",
                "header-lines: 16384 | header-lines: 0 | http.largest-header-lines | 1 to",
                "body-bytes: 1073741824 | body-bytes: 1G | http.largest-body-bytes | an integer",
                "replay-bytes: 65536 | replay-bytes: 9999999 | http.replay-bytes | 0 to 1048576",
                "read-timeout-milliseconds: 20000 | read-timeout: 20000 | http.read-timeout | unknown key",
                "timeout-milliseconds: 60000 | timeout-milliseconds: 0 | http.idle-timeout-milliseconds | 1 to",
                "connect-timeout-milliseconds: 500 | connect-timeout-milliseconds: 1s | http.connect-timeout | 1 to",
                "linger-milliseconds: 5000 | linger-milliseconds: 60000 | drain.deadline-milliseconds | more than",
                "linger-milliseconds: 5000 | linger: 5000 | drain.linger | did you mean",
                "deadline-milliseconds: 60000 | deadline-milliseconds: x | drain.deadline-milliseconds | 1 to 3600000",
                "# certificate: /etc/chivecourse/callers.pem | certificate: /no/file | callers.certificate | a file",
                "# key: /etc/chivecourse/callers.key | key: pom.xml | callers.key | together",
                "# backend-trust: /etc/chivecourse/backend-servers.pem | backend-trust: /no | backend-trust | a file",
            })
    void reportsLocationKeyAndAllowedValues(String original, String replacement, String key, String allowed)
            throws Exception {
        String text = Files.readString(EXAMPLE).replaceFirst(Pattern.quote(original), replacement);
        DocumentException thrown =
                assertThrows(DocumentException.class, () -> GatewaySettingsReader.read("file.yaml", text));
        assertThat(
                thrown.getMessage(),
                allOf(startsWith("file.yaml:"), containsString("\"" + key), containsString(allowed)));
        thrown.getMessage().lines().forEach(line -> assertThat(line, startsWith("file.yaml:")));
    }

    @Test
    void reportsAllProblemsAtOnce() throws Exception {
        String text = Files.readString(EXAMPLE)
                .replace("expected-hosts: 14", "expected-hosts: many")
                .replace("trace-steps:", "trace-step:")
                .replace("data-centre: si-a\n", "");
        DocumentException thrown =
                assertThrows(DocumentException.class, () -> GatewaySettingsReader.read("file.yaml", text));
        assertThat(
                thrown.getMessage().lines().toList(),
                contains(
                        containsString("\"data-centre\" is missing"),
                        containsString("\"expected-hosts\""),
                        containsString("did you mean \"trace-steps\"")));
    }

    @Test
    void reportsMissingSectionOnce() {
        DocumentException thrown = assertThrows(
                DocumentException.class,
                () -> GatewaySettingsReader.read(
                        "file.yaml",
                        "name: a\ndata-centre: b\noperators: {address: \"a:1\"}\n"
                                + "configuration-service: [\"a:2\"]\nhost-list: [\"a:3\"]\n"));
        assertThat(thrown.getMessage().lines().toList(), contains(containsString("\"callers\" is missing")));
    }

    @Test
    void omittedDrainAndHostCountUseDefaults() throws Exception {
        String text = "name: entry-1\ndata-centre: si-a\ncallers: {address: \"127.0.0.1:8080\"}\n"
                + "operators: {address: \"127.0.0.1:8081\"}\nconfiguration-service: [\"127.0.0.1:7000\"]\n"
                + "host-list: [\"127.0.0.1:7001\"]\npeers: {address: \"127.0.0.1:8082\"}\n";
        assertThat(GatewaySettingsReader.read("short", text), equalTo(GatewaySettingsReader.read(EXAMPLE)));
    }

    /**
     * Requests that need longer than a fixed drain must not be cut while the platform would still wait, and a gateway
     * must start and stop in time where the platform waits for less than the stated times.
     */
    @ParameterizedTest
    @CsvSource({"10, 2500, 9500", "6, 2500, 5500", "30, 2500, 29500", "2, 917, 1834", "3, 1375, 2750"})
    void drainFollowsGraceOfPlatform(int grace, long linger, long deadline) throws Exception {
        String text = "name: entry-1\ndata-centre: si-a\ncallers: {address: \"127.0.0.1:8080\"}\n"
                + "operators: {address: \"127.0.0.1:8081\"}\nconfiguration-service: [\"127.0.0.1:7000\"]\n"
                + "host-list: [\"127.0.0.1:7001\"]\npeers: {address: \"127.0.0.1:8082\"}\n"
                + "drain: {linger-milliseconds: 2500, deadline-milliseconds: 5500, grace-seconds: " + grace + ".0}\n";
        GatewaySettings.Drain drain = GatewaySettingsReader.read("grace", text).drain();
        assertThat(drain.deadline().toMillis(), equalTo(deadline));
        assertThat(drain.linger().toMillis(), equalTo(linger));
    }

    @Test
    void reportsMissingFile() {
        DocumentException thrown =
                assertThrows(DocumentException.class, () -> GatewaySettingsReader.read(Path.of("no-such-file.yaml")));
        assertThat(thrown.getMessage(), equalTo("no-such-file.yaml: file does not exist"));
    }
}
