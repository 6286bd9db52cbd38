/** Ownership of idempotency keys, which ensures that the request of a key runs at most once across all hosts. */
package org.chivecourse.coordination.ownership;
