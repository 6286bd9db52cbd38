package org.chivecourse.state.key;

/**
 * A reply to a question about an idempotency key.
 *
 * @param name the name of the replying host
 * @param incarnation the incarnation of the asking gateway, as in the question
 * @param round the number of the question within that incarnation
 * @param key the key
 * @param verdict the answer of the replying host
 */
public record KeyReply(String name, long incarnation, long round, String key, KeyVerdict verdict) {}
