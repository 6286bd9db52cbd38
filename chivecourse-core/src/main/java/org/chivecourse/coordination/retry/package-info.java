/**
 * Decides when a call is retried, and bounds how many retries and hedges are sent.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.retry;
