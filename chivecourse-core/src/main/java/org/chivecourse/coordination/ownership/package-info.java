/** The rule that the request of an idempotency key runs at most once over all hosts. */
package org.chivecourse.coordination.ownership;
