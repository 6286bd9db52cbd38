/**
 * Forwards calls to other gateways while this one has no links to backend servers.
 *
 * <p>The parameter {@code now} of its methods is the current time in nanoseconds of the host's clock.
 */
package org.chivecourse.coordination.forward;
