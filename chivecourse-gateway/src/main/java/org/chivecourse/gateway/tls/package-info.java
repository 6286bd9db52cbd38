/** The TLS contexts of a gateway. */
package org.chivecourse.gateway.tls;
