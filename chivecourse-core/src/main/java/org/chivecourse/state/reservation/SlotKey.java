package org.chivecourse.state.reservation;

/**
 * Identifies a request for a slot.
 *
 * @param name the name of the requesting gateway
 * @param incarnation the incarnation of that gateway
 * @param number the number of the request, unique within the incarnation
 */
public record SlotKey(String name, long incarnation, long number) {}
