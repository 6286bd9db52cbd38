package org.chivecourse.configuration.format;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.chivecourse.configuration.TestConfigurations;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.configuration.model.WarmUp;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against printed configurations that cannot be read back, vary between runs or reuse a revision. */
class ConfigurationWriterTest {

    /** The maximum size of the platform's value that holds a printed configuration. */
    private static final int MAXIMUM_VALUE_BYTES = 1024 * 1024;

    private final ConfigurationWriter writer = new ConfigurationWriter();

    private final ConfigurationReader reader = new ConfigurationReader();

    @Test
    void readsPrintedConfigurationBack() throws Exception {
        PrintedConfiguration printed = writer.print(TestConfigurations.small(7));
        assertThat(reader.read("test", printed.text()).printed(), equalTo(printed));
    }

    @Test
    void readsEvacuatedDataCentresBack() throws Exception {
        Configuration configuration = TestConfigurations.small(7);
        String dataCentre =
                configuration.services().get(0).backendServers().get(0).dataCentre();
        String text = writer.printUnchecked(configuration.evacuatedDataCentres(List.of(dataCentre)));
        Configuration read = reader.read("test", text).printed().configuration();
        assertThat(read.evacuatedDataCentres(), equalTo(List.of(dataCentre)));
    }

    @Test
    void readsPrintedWarmUpBack() throws Exception {
        Configuration configuration = warmingUp(new WarmUp(Duration.ofMillis(2500), 1.9));
        String text = writer.print(configuration).text();
        assertThat(reader.read("test", text).printed().configuration(), equalTo(configuration));
    }

    @ParameterizedTest
    @CsvSource({
        "milliseconds: 2500,milliseconds: 0",
        "requests-per-second: 1.9,requests-per-second: few",
        "requests-per-second: 1.9,requests-a-second: 1.9",
        "requests-per-second: 1.9,requests-per-second: -1"
    })
    void rejectsUnreadableWarmUp(String original, String replacement) {
        Configuration configuration = warmingUp(new WarmUp(Duration.ofMillis(2500), 1.9));
        String text = writer.printUnchecked(configuration).replace(original, replacement);
        Exception thrown = assertThrows(Exception.class, () -> reader.read("file.yaml", text));
        assertThat(thrown.getMessage(), containsString("services[0].warm-up."));
    }

    private static Configuration warmingUp(WarmUp warmUp) {
        Configuration small = TestConfigurations.small(7);
        Service service = small.services().get(0).warmUp(warmUp);
        return Configuration.revision(7).service(service);
    }

    @Test
    void printsEqualConfigurationsIdentically() throws Exception {
        String first = writer.print(TestConfigurations.small(7)).text();
        assertThat(new ConfigurationWriter().print(TestConfigurations.small(7)).text(), equalTo(first));
    }

    @Test
    void largeConfigurationFitsMaximumValueSize() throws Exception {
        PrintedConfiguration printed = writer.print(TestConfigurations.large());
        assertThat(printed.text().getBytes(StandardCharsets.UTF_8).length, lessThan(MAXIMUM_VALUE_BYTES));
        assertThat(reader.read("test", printed.text()).printed().configuration(), equalTo(printed.configuration()));
    }

    @Test
    void rejectsRevisionThatIsNotHigher() throws Exception {
        PrintedConfiguration previous = writer.print(TestConfigurations.small(7));
        ConfigurationException thrown =
                assertThrows(ConfigurationException.class, () -> writer.print(TestConfigurations.small(7), previous));
        assertThat(thrown.getMessage(), containsString("allowed: at least 8"));
    }

    @Test
    void setsParentDigestOfChangedConfiguration() throws Exception {
        PrintedConfiguration previous = writer.print(TestConfigurations.small(7));
        Configuration next = writer.print(TestConfigurations.small(8), previous).configuration();
        assertThat(next.parentDigest(), equalTo(previous.digest()));
    }
}
