package org.chivecourse.configuration.format;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.chivecourse.configuration.TestConfigurations;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against rejections whose message does not give the line, the key and the allowed values. */
class ConfigurationReaderTest {

    private static final String VALID = new ConfigurationWriter().printUnchecked(TestConfigurations.small(1));

    private final ConfigurationReader reader = new ConfigurationReader();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "format: 1            | format: 2              | 1  | format               | from 1 to 1",
                "revision: 1          | revision: one          | 2  | revision             | an integer",
                "revision: 1          | revision: -4           | 2  | revision             | an integer",
                "revision: 1          | revision: 1.5          | 2  | revision             | an integer",
                "revision: 1          | revisoin: 1            | 1  | revision             | missing",
                "name: jobs           | nam: jobs              | 4  | services[0].name     | missing",
                "priority: high       | priority: highest      | 6  | priority             | high, normal, low",
                "priority: high       | priority: [high]       | 6  | priority             | high, normal, low",
                "queue-limit: 256     | queue-limit: many      | 8  | queue-limit          | an integer",
                "queue-limit: 256     | queue-limit: 999999    | 8  | queue-limit          | 0 to 100000",
                "queue-limit: 256     | queue-lenght: 256      | 8  | queue-lenght         | unknown key",
                "status: 503          | status: 503.5          | 11 | refusal.status       | an integer",
                "hedged: false        | hedged: no             | 24 | hedged               | true or false",
                "- get                | - fetch                | 19 | methods              | get, head",
                "attempts: 3          | attempts: 9            | 23 | attempts             | 1 to 5",
                "slots: 4             | slots: four            | 36 | slots                | an integer",
                "mode: active         | mode: gone             | 38 | mode                 | active, leaving",
                "data-centre: si-a    | data-centre: Si A      | 35 | data-centre          | lower case",
                "address: 10.0.0.1:80 | address: 10.0.0.1:0    | 34 | address              | a port from 1",
            })
    void reportsLineKeyValueAndAllowedValues(
            String original, String replacement, int line, String key, String allowed) {
        String text = VALID.replaceFirst(java.util.regex.Pattern.quote(original), replacement);
        Exception thrown = assertThrows(Exception.class, () -> reader.read("file.yaml", text));
        assertThat(
                thrown.getMessage(),
                allOf(startsWith("file.yaml:" + line + ": "), containsString(key), containsString(allowed)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[Si A]    | file.yaml:44: | evacuated-data-centres[0] | lower case letters",
                "si-a      | file.yaml:44: | evacuated-data-centres    | a list of texts",
                "[[si-a]]  | file.yaml:44: | evacuated-data-centres    | a list of texts",
                "{si-a: 1} | file.yaml:44: | evacuated-data-centres    | a list of texts",
            })
    void reportsInvalidEvacuatedDataCentres(String value, String line, String key, String allowed) {
        String text = VALID + "evacuated-data-centres: " + value + "\n";
        Exception thrown = assertThrows(Exception.class, () -> reader.read("file.yaml", text));
        assertThat(thrown.getMessage(), allOf(startsWith(line), containsString(key), containsString(allowed)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''               | file.yaml:1: document is not a YAML mapping",
                "- 1              | file.yaml:1: document is not a YAML mapping",
                "a: [             | file.yaml:1: document is not YAML",
                "a: 1\\na: 2      | file.yaml:2: key \"a\" is a duplicate",
                "? [a]\\n: 1      | file.yaml:1: key is not a scalar",
            })
    void rejectsMalformedDocuments(String text, String problem) {
        String lines = text.replace("\\n", "\n");
        Exception thrown = assertThrows(Exception.class, () -> reader.read("file.yaml", lines));
        assertThat(thrown.getMessage(), startsWith(problem));
    }

    @Test
    void acceptsDangerousConfigurationAndReportsFinding() throws Exception {
        Service drained = TestConfigurations.jobs()
                .backendServers(TestConfigurations.jobs().backendServers().stream()
                        .map(server -> server.leaving())
                        .toList());
        Configuration configuration = Configuration.revision(1).service(drained);
        String text = new ConfigurationWriter().printUnchecked(configuration);
        assertThat(reader.read("file.yaml", text).dangers(), hasSize(1));
    }

    @Test
    void listsEachViolatedRuleOnSeparateLine() {
        String text = VALID.replace("slots: 4", "slots: 0");
        Exception thrown = assertThrows(Exception.class, () -> reader.read("file.yaml", text));
        assertThat(List.of(thrown.getMessage().split("\n")), hasSize(2));
    }
}
