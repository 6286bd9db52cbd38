package org.chivecourse.coordination.reservation;

import org.chivecourse.state.fleet.Member;

/**
 * A group of backend servers, and the gateway that is asked for one of their slots.
 *
 * @param dataCentre the data centre of the backend servers
 * @param group the group
 * @param recipient the allocator, or a gateway that passes the request on to another data centre
 */
record SlotTarget(String dataCentre, int group, Member recipient) {}
