/** What a host's decision core tells the transport to do. */
package org.chivecourse.coordination.decision;
