package org.chivecourse.state.key;

/**
 * A reply to a query about an idempotency key.
 *
 * @param name the name of the replying host
 * @param incarnation the incarnation of the querying gateway, as in the query
 * @param round the number of the query round within that incarnation
 * @param key the key
 * @param verdict whether the replying host holds the key
 */
public record KeyReply(String name, long incarnation, long round, String key, KeyVerdict verdict) {}
