package org.chivecourse.configuration.format;

import java.util.List;
import org.chivecourse.configuration.rule.Finding;

/**
 * A configuration that was read and may be applied.
 *
 * @param printed the configuration with its text and digest
 * @param dangers the findings that do not keep it from being applied but are reported
 */
public record LoadedConfiguration(PrintedConfiguration printed, List<Finding> dangers) {

    /**
     * Creates a read configuration whose findings are copied.
     */
    public LoadedConfiguration {
        dangers = List.copyOf(dangers);
    }
}
