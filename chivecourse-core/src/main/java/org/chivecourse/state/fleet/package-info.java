/** What the gateways of a fleet that finds itself by seeds tell each other. */
package org.chivecourse.state.fleet;
