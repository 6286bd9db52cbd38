package org.chivecourse.configuration.rule;

/** How a finding is treated. */
public enum Severity {
    /** The library refuses to print the configuration and gateways refuse to apply it. */
    INVALID,

    /** The library refuses to print the configuration, and gateways apply it and report the finding. */
    DANGEROUS
}
