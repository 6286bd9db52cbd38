package org.chivecourse.configuration.model;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight the share, relative to the weights of the route's other services
 */
public record ServiceShare(String service, int weight) {}
