package org.chivecourse.configuration.rule;

/**
 * A breach of a rule.
 *
 * @param severity how the finding is treated
 * @param path the place in the printed configuration
 * @param problem what is wrong, with the offending value and what is allowed
 */
public record Finding(Severity severity, String path, String problem) {}
