/** The fleet of gateways that find each other by seeds, and what they tell each other. */
package org.chivecourse.coordination.fleet;
