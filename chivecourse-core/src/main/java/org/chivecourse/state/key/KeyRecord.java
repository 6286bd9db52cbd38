package org.chivecourse.state.key;

/**
 * A host's record of an idempotency key.
 *
 * @param call the identifier of the call that uses the key on this host
 * @param state the state of the key's request
 * @param expiresAt the time in nanoseconds at which the record expires, provided that its call has ended
 */
public record KeyRecord(long call, KeyState state, long expiresAt) {}
