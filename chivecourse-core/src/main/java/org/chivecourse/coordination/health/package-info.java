/**
 * Schedules checks of backend servers' health endpoints and evaluates their results.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.health;
