/** Defines what an adapter supplies to run a gateway on a platform: header fields, published items and the log. */
package org.chivecourse.gateway.environment;
