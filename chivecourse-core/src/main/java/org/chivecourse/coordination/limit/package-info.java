/** The bounds on what a host accepts and sends. */
package org.chivecourse.coordination.limit;
