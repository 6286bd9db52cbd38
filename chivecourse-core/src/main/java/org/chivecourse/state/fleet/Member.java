package org.chivecourse.state.fleet;

/**
 * A gateway of the fleet.
 *
 * @param name the name of its host
 * @param address the address at which it listens for other gateways
 * @param dataCentre the name of its host's data centre
 */
public record Member(String name, String address, String dataCentre) {}
