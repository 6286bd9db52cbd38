package org.chivecourse.configuration.rule;

/** The consequence of a violated rule. */
public enum Severity {
    /** The library refuses to print the configuration and gateways refuse to apply it. */
    INVALID,

    /** The library refuses to print the configuration, but gateways apply it and report the finding. */
    DANGEROUS
}
