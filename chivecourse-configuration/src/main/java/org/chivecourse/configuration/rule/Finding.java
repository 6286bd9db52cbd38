package org.chivecourse.configuration.rule;

/**
 * A violated rule of a configuration.
 *
 * @param severity whether gateways still apply the configuration
 * @param path the path of the value in the printed configuration, such as {@code services[0].name}
 * @param problem a description of the problem, with the rejected value and what is allowed
 */
public record Finding(Severity severity, String path, String problem) {}
