/** The state that a host keeps for each backend server of a service. */
package org.chivecourse.state.server;
