/** The gateway as a service with start and stop. */
package org.chivecourse.gateway.daemon;
