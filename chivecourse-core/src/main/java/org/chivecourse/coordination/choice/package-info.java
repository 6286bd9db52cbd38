/**
 * Chooses the backend server of an attempt, by policies that range from random to an estimate of the finish time.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.choice;
