/** The events that the transport passes to a gateway's decision core. */
package org.chivecourse.coordination.event;
