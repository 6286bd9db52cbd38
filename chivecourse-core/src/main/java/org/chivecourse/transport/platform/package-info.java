/** Readers of the platform's configuration service and host list. */
package org.chivecourse.transport.platform;
