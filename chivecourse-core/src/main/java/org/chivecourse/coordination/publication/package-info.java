/** The reading of what the platform publishes, directly or by way of other gateways. */
package org.chivecourse.coordination.publication;
