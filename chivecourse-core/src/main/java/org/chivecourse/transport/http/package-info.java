/**
 * The HTTP transport of a host: it accepts callers' requests, sends attempts, health checks and probes to backend
 * servers, and connects both to the decision core.
 */
package org.chivecourse.transport.http;
