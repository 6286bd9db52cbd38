/**
 * The transport between gateways: datagrams for digests and queries about idempotency keys, and TCP connections for
 * configurations and published items.
 */
package org.chivecourse.transport.peer;
