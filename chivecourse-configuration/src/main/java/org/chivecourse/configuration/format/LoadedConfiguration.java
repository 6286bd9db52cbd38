package org.chivecourse.configuration.format;

import java.util.List;
import org.chivecourse.configuration.rule.Finding;

/**
 * A configuration that was read and has no invalid values, so that it may be applied.
 *
 * @param printed the configuration with its text and digest
 * @param dangers the findings that are reported but do not prevent the configuration from being applied
 */
public record LoadedConfiguration(PrintedConfiguration printed, List<Finding> dangers) {

    /** Creates a loaded configuration with an immutable copy of the findings. */
    public LoadedConfiguration {
        dangers = List.copyOf(dangers);
    }
}
