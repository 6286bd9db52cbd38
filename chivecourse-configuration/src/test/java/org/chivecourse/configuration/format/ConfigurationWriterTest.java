package org.chivecourse.configuration.format;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.chivecourse.configuration.TestConfigurations;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.junit.jupiter.api.Test;

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
