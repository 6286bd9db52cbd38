package org.chivecourse.state.key;

/**
 * A host's query whether another host holds an idempotency key.
 *
 * @param name the name of the querying host
 * @param incarnation the incarnation of the querying gateway
 * @param round the number of the query round within that incarnation
 * @param key the key
 * @param ageNanoseconds the age of the key, in nanoseconds, negative if it is not known
 */
public record KeyQuery(String name, long incarnation, long round, String key, long ageNanoseconds) {}
