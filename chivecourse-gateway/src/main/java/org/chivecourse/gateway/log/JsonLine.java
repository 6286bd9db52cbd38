package org.chivecourse.gateway.log;

import java.util.Locale;

/** Builds a log line that is a JSON object. */
final class JsonLine {

    /** The first character that JSON strings may contain without an escape sequence. */
    private static final char FIRST_PRINTABLE_CHARACTER = ' ';

    /** The maximum length of a string member, in characters. */
    static final int MAXIMUM_VALUE_CHARACTERS = 500;

    /** The text of the object without its closing brace. */
    private final StringBuilder text = new StringBuilder(192).append('{');

    /**
     * Adds a string member. Of a value longer than {@link #MAXIMUM_VALUE_CHARACTERS} only the beginning is written,
     * since it may hold what a caller or a backend server sent.
     *
     * @param name the name of the member
     * @param value the value; the member is omitted if it is empty or {@code null}
     * @return this line
     */
    JsonLine add(String name, String value) {
        if (value == null || value.isEmpty()) {
            return this;
        }
        appendName(name);
        text.append('"');
        for (int index = 0; index < Math.min(value.length(), MAXIMUM_VALUE_CHARACTERS); index++) {
            appendEscaped(value.charAt(index));
        }
        text.append(value.length() > MAXIMUM_VALUE_CHARACTERS ? "...\"" : "\"");
        return this;
    }

    /**
     * Adds an integer member.
     *
     * @param name the name of the member
     * @param value the value
     * @return this line
     */
    JsonLine add(String name, long value) {
        appendName(name);
        text.append(value);
        return this;
    }

    /**
     * Adds a number member, rounded to two decimal places.
     *
     * @param name the name of the member
     * @param value the value
     * @return this line
     */
    JsonLine add(String name, double value) {
        appendName(name);
        long hundredths = Math.round(value * 100);
        text.append(hundredths / 100).append('.');
        long fraction = Math.abs(hundredths % 100);
        text.append(fraction < 10 ? "0" : "").append(fraction);
        return this;
    }

    /**
     * Adds a boolean member.
     *
     * @param name the name of the member
     * @param value the value
     * @return this line
     */
    JsonLine add(String name, boolean value) {
        appendName(name);
        text.append(value);
        return this;
    }

    /**
     * Appends the name of a member and, except for the first member, a comma before it.
     *
     * @param name the name, which must not need escapes
     */
    private void appendName(String name) {
        if (text.length() > 1) {
            text.append(',');
        }
        text.append('"').append(name).append("\":");
    }

    /**
     * Appends a character of a string, escaped if JSON requires it.
     *
     * @param character the character
     */
    private void appendEscaped(char character) {
        if (character == '"' || character == '\\') {
            text.append('\\').append(character);
        } else if (character < FIRST_PRINTABLE_CHARACTER) {
            text.append(String.format(Locale.ROOT, "\\u%04x", (int) character));
        } else {
            text.append(character);
        }
    }

    @Override
    public String toString() {
        return text + "}";
    }
}
