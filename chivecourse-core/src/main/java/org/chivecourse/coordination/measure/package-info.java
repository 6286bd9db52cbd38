/**
 * Schedules probes of backend servers' load and health within a budget.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.measure;
