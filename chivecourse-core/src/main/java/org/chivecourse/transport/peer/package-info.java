/** The adapters between gateways: datagrams for digests and streams for configurations. */
package org.chivecourse.transport.peer;
