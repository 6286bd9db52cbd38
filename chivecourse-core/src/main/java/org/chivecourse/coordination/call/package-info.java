/** Coordinates calls from arrival to final answer: queueing, attempts, retries, hedges and answers. */
package org.chivecourse.coordination.call;
