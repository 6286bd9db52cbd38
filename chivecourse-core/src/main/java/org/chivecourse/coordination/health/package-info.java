/** Schedules checks of backend servers' health endpoints and evaluates their results. */
package org.chivecourse.coordination.health;
