/** Bounds the calls that wait on a host, and estimates how long they wait. */
package org.chivecourse.coordination.limit;
