/**
 * The registry of backend servers that announce themselves, including those that are kept after an outage of the
 * publisher.
 */
package org.chivecourse.coordination.registry;
