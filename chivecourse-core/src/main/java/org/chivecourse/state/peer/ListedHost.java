package org.chivecourse.state.peer;

/**
 * A host of the platform's host list.
 *
 * @param name the name
 * @param address the address at which its gateway listens for other gateways
 * @param dataCentre the name of the data centre it stands in
 * @param leaving whether the platform is about to stop it
 */
public record ListedHost(String name, String address, String dataCentre, boolean leaving) {}
