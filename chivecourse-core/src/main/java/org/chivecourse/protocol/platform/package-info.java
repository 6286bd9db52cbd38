/** The long-polling protocol of the platform's configuration service and host list, and the format of the host list. */
package org.chivecourse.protocol.platform;
