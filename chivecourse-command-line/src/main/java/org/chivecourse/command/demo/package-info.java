/** Demonstrates a fleet of gateways with simulated services and load on loopback. */
package org.chivecourse.command.demo;
