/** The contents of the digests that the gateways of a fleet exchange when they discover each other by seeds. */
package org.chivecourse.state.fleet;
