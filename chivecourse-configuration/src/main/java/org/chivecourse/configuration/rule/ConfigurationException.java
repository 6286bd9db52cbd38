package org.chivecourse.configuration.rule;

import java.util.List;
import java.util.function.Function;

/** Signals that a configuration breaks rules. */
public class ConfigurationException extends Exception {

    /** The broken rules. */
    private final transient List<Finding> findings;

    /**
     * Creates an exception.
     *
     * @param source the file or address of the configuration
     * @param findings the broken rules, at least one
     * @param lineSuffix returns a colon and the line of a path, or an empty text
     */
    public ConfigurationException(String source, List<Finding> findings, Function<String, String> lineSuffix) {
        super(describe(source, findings, lineSuffix));
        this.findings = List.copyOf(findings);
    }

    /**
     * Returns the broken rules.
     *
     * @return the findings
     */
    public List<Finding> findings() {
        return findings;
    }

    /**
     * Returns findings as text, one a line.
     *
     * @param source the file or address of the configuration
     * @param findings the broken rules
     * @param lineSuffix returns a colon and the line of a path, or an empty text
     * @return the text
     */
    private static String describe(String source, List<Finding> findings, Function<String, String> lineSuffix) {
        StringBuilder text = new StringBuilder();
        for (Finding finding : findings) {
            if (!text.isEmpty()) {
                text.append('\n');
            }
            text.append(source).append(lineSuffix.apply(finding.path())).append(": key \"");
            text.append(finding.path()).append("\": ").append(finding.problem());
        }
        return text.toString();
    }
}
