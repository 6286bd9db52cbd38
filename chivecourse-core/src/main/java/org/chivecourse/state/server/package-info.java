/** What one host knows of the backend servers of a service. */
package org.chivecourse.state.server;
