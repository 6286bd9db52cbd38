/** What hosts know of idempotency keys and tell each other of them. */
package org.chivecourse.state.key;
