/** The driver that passes events to a host's decision core one at a time and has its decisions performed. */
package org.chivecourse.transport.driver;
