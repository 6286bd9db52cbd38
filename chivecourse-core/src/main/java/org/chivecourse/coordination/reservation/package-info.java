/**
 * Reservations of backend servers' slots. For each group of backend servers one gateway, the allocator, places the
 * requests of all gateways of its data centre, so that no two of them take the same free slot.
 *
 * <p>A reservation is advice. What may be sent where is decided as without it, and a gateway that gets no reply in time
 * chooses by itself.
 */
package org.chivecourse.coordination.reservation;
