/** The records of idempotency keys that a host keeps and the queries about keys that hosts exchange. */
package org.chivecourse.state.key;
