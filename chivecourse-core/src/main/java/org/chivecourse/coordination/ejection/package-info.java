/**
 * Excludes failing backend servers for a time.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.ejection;
