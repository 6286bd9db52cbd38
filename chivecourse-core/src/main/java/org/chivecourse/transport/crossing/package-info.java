/** Counts the bytes that this gateway exchanges with other data centres, by their cause. */
package org.chivecourse.transport.crossing;
