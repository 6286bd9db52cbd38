package org.chivecourse.state.fleet;

/**
 * A gateway of the fleet.
 *
 * @param name the name of its host
 * @param address the address at which it listens for other gateways
 * @param dataCentre the data centre that its host stands in
 */
public record Member(String name, String address, String dataCentre) {}
