/** The decision core of a host: events with their time go in, decisions come out, and nothing else happens. */
package org.chivecourse.coordination.host;
