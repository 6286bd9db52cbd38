/** What gateways tell each other of reservations of backend servers' slots. */
package org.chivecourse.state.reservation;
