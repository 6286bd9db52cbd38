package org.chivecourse.configuration.rule;

import java.util.List;
import java.util.function.Function;

/** Signals that a configuration violates at least one rule. */
public class ConfigurationException extends Exception {

    /** The violated rules. Findings are not serializable, so a deserialized exception has none. */
    private final transient List<Finding> findings;

    /**
     * Creates an exception whose message lists each violated rule on its own line.
     *
     * @param source the file or address that the configuration was read from
     * @param findings the violated rules, at least one
     * @param lineSuffix maps the path of a value to a colon and its line number, or to an empty text if the
     *     configuration was not read from a document
     */
    public ConfigurationException(String source, List<Finding> findings, Function<String, String> lineSuffix) {
        super(describe(source, findings, lineSuffix));
        this.findings = List.copyOf(findings);
    }

    /** Returns the violated rules. */
    public List<Finding> findings() {
        return findings;
    }

    /**
     * Returns the message: one line for each finding, with the source, line and path of the value and the problem.
     *
     * @param source the file or address that the configuration was read from
     * @param findings the violated rules
     * @param lineSuffix maps the path of a value to a colon and its line number, or to an empty text
     * @return the message without a line break at the end
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
