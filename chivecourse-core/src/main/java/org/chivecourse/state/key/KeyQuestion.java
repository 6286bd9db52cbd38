package org.chivecourse.state.key;

/**
 * The question of a host whether another one knows a key.
 *
 * @param name the name of the asking host
 * @param incarnation the number of the asking gateway's life
 * @param round the number of the question in that life
 * @param key the key
 * @param ageNanoseconds the age of the key, negative if it is not known
 */
public record KeyQuestion(String name, long incarnation, long round, String key, long ageNanoseconds) {}
