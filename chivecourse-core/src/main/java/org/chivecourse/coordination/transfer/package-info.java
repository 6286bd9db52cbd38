/** Decides what large bodies may take of a host's network link and of a backend server's memory. */
package org.chivecourse.coordination.transfer;
