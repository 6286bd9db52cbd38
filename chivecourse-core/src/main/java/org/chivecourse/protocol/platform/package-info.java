/** The protocol by which the platform's configuration service and host list are read. */
package org.chivecourse.protocol.platform;
