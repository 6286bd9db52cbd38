/** The state that a host keeps for the gateways of the platform's host list, and the digests that they exchange. */
package org.chivecourse.state.peer;
