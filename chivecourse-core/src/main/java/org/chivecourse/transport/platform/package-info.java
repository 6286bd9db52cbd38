/** The client of the platform's long-polling protocol. */
package org.chivecourse.transport.platform;
