/** Runs gateways and simulated services in one process on loopback. */
package org.chivecourse.command.fleet;
