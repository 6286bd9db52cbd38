/**
 * Discovery of the fleet's gateways through seeds, and the digests that they exchange to share observations of backend
 * servers, crashes, blocked requests and published items.
 */
package org.chivecourse.coordination.fleet;
