package org.chivecourse.gateway.log;

import java.util.Locale;

/** Builds one log line as a JSON object. */
final class JsonLine {

    /** The first character that needs no escape. */
    private static final char FIRST_PRINTABLE_CHARACTER = ' ';

    /** The text so far. */
    private final StringBuilder text = new StringBuilder(192).append('{');

    /**
     * Adds a text.
     *
     * @param name the name of the member
     * @param value the value, left out if it is empty or {@code null}
     * @return this line
     */
    JsonLine add(String name, String value) {
        if (value == null || value.isEmpty()) {
            return this;
        }
        appendName(name);
        text.append('"');
        for (int index = 0; index < value.length(); index++) {
            appendEscaped(value.charAt(index));
        }
        text.append('"');
        return this;
    }

    /**
     * Adds a whole number.
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
     * Adds a number with two decimal places.
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
     * Adds a truth value.
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
     * Adds the name of a member.
     *
     * @param name the name
     */
    private void appendName(String name) {
        if (text.length() > 1) {
            text.append(',');
        }
        text.append('"').append(name).append("\":");
    }

    /**
     * Adds a character of a text.
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
