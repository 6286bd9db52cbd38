/** The watch of backend servers' health endpoints. */
package org.chivecourse.coordination.health;
