/**
 * Coordinates calls from arrival to final answer: queueing, attempts, retries, hedges and answers.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.call;
