/** The items that the platform publishes, as a host knows them. */
package org.chivecourse.state.publication;
