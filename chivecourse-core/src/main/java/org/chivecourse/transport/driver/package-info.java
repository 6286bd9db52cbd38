/** The driver that feeds events into a host's decision core and carries its decisions out. */
package org.chivecourse.transport.driver;
