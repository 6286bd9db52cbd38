/**
 * Published items of the platform: when to read them from the publisher, and how they change the configuration and the
 * registry of backend servers, whether received directly or from other gateways.
 */
package org.chivecourse.coordination.publication;
