/** Determines the route and the service of a request from its host name and path. */
package org.chivecourse.coordination.route;
