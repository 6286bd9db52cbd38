/**
 * Decides when a second attempt of an idempotent call that takes unusually long is sent.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.hedge;
