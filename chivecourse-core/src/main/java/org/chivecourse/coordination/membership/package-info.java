/**
 * Membership of the gateways on the platform's host list, and the digests that they exchange to find reachable peers,
 * the newest configuration, leaving backend servers and blocked requests.
 */
package org.chivecourse.coordination.membership;
