package org.chivecourse.state.key;

/**
 * The reply to a question for a key.
 *
 * @param name the name of the replying host
 * @param incarnation the number of the asking gateway's life, as in the question
 * @param round the number of the question in that life
 * @param key the key
 * @param verdict what the replying host says
 */
public record KeyReply(String name, long incarnation, long round, String key, KeyVerdict verdict) {}
