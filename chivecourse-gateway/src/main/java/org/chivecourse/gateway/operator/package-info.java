/** Serves the status, metrics, trace and readiness of a gateway over HTTP. */
package org.chivecourse.gateway.operator;
