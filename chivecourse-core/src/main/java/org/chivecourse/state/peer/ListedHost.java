package org.chivecourse.state.peer;

/**
 * An entry of the platform's host list.
 *
 * @param name the name of the host
 * @param address the address at which its gateway listens for other gateways
 * @param dataCentre the name of its data centre
 * @param leaving whether the platform is about to stop it
 */
public record ListedHost(String name, String address, String dataCentre, boolean leaving) {}
