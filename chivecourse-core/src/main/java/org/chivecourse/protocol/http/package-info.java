/** The header fields and documents by which gateways, callers and backend servers understand each other. */
package org.chivecourse.protocol.http;
