/** Builds the TLS contexts of a gateway and rebuilds them when certificate files change. */
package org.chivecourse.gateway.tls;
