/** Decides when a call is retried, and bounds how many retries and hedges are sent. */
package org.chivecourse.coordination.retry;
