/**
 * Recognizes and blocks requests that crash the backend servers that run them.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.poison;
