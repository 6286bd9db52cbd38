package org.chivecourse.state.key;

/**
 * What a host remembers of a key.
 *
 * @param call the identifier of the call that uses the key here
 * @param state what is known of its request
 * @param expiresAt the time in nanoseconds until which it is remembered once its call has ended
 */
public record KeyRecord(long call, KeyState state, long expiresAt) {}
