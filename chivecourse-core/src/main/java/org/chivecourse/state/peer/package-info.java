/** What one host knows of the other hosts' gateways. */
package org.chivecourse.state.peer;
