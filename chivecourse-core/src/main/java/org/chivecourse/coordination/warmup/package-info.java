/** Bounds the requests that cold backend servers get from all gateways together. */
package org.chivecourse.coordination.warmup;
