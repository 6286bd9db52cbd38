/**
 * The sans-IO decision core of a gateway: it receives timestamped events and emits decisions, and performs no I/O
 * itself.
 */
package org.chivecourse.coordination.host;
