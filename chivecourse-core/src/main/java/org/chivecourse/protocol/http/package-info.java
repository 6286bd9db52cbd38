/**
 * The HTTP interface between callers, gateways and backend servers: header fields, validation of requests, problem
 * documents, and the fingerprints and ages by which duplicates of requests are recognized.
 */
package org.chivecourse.protocol.http;
