package org.chivecourse.state.key;

/**
 * A host's question whether another host knows an idempotency key.
 *
 * @param name the name of the asking host
 * @param incarnation the incarnation of the asking gateway
 * @param round the number of the question within that incarnation
 * @param key the key
 * @param ageNanoseconds the age of the key, in nanoseconds, negative if it is not known
 */
public record KeyQuestion(String name, long incarnation, long round, String key, long ageNanoseconds) {}
