/** Gateways and stand-ins in one process on loopback. */
package org.chivecourse.command.fleet;
