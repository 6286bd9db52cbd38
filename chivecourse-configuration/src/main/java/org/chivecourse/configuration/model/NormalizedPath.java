package org.chivecourse.configuration.model;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * The form of a path in which paths of requests and path prefixes of routes are compared.
 *
 * <p>Characters that a path may contain stand for themselves, also where they were escaped; every other octet is
 * escaped with upper case digits (RFC 3986, section 6.2.2). Repeated slashes are merged. Two texts have the same
 * normalized path only if they are the same octets once escapes are decoded and slashes merged.
 */
public final class NormalizedPath {

    /** The characters besides letters and digits that stand for themselves (RFC 3986, section 3.3, and the slash). */
    private static final String LITERAL_CHARACTERS = "/-._~!$&'()*+,;=:@";

    /** The digits of escapes. */
    private static final String HEXADECIMAL_DIGITS = "0123456789ABCDEF";

    /** The pattern of a percent sign that begins no escape. */
    private static final Pattern PLAIN_PERCENT_SIGN = Pattern.compile("%(?![0-9A-Fa-f]{2})");

    /** The number of digits of an escape. */
    private static final int ESCAPE_DIGITS = 2;

    /** The number of bits that a digit of an escape stands for. */
    private static final int BITS_PER_DIGIT = 4;

    /** The largest octet. */
    private static final int MAXIMUM_OCTET = 0xff;

    /** Prevents instantiation. */
    private NormalizedPath() {}

    /**
     * Normalizes the path of a request.
     *
     * @param path the path as it was received, without the query, one character for each octet
     * @return the normalized path, the path itself if it is normalized already
     * @throws MalformedPathException if an escape is malformed or encodes a separator, the path contains a control
     *     character, a backslash or a character above {@code 0xff}, or a segment consists of one or two dots
     */
    public static String ofRequest(String path) throws MalformedPathException {
        String normalized = isNormalized(path) ? path : normalize(path);
        rejectDotSegments(normalized, path);
        return normalized;
    }

    /**
     * Normalizes the path prefix of a route. A percent sign that begins no escape stands for itself.
     *
     * @param prefix the prefix as the operator wrote it, with or without escapes
     * @return the normalized prefix
     * @throws MalformedPathException if no path that begins with the prefix can be normalized
     */
    public static String ofPrefix(String prefix) throws MalformedPathException {
        String escaped = PLAIN_PERCENT_SIGN.matcher(prefix).replaceAll("%25");
        return ofRequest(new String(escaped.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1));
    }

    /** Returns whether a path consists of literal characters and has no repeated slashes. */
    private static boolean isNormalized(String path) {
        for (int index = 0; index < path.length(); index++) {
            char character = path.charAt(index);
            boolean repeatedSlash = character == '/' && index > 0 && path.charAt(index - 1) == '/';
            if (repeatedSlash || !isLiteral(character)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a character stands for itself in a normalized path. */
    private static boolean isLiteral(int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || LITERAL_CHARACTERS.indexOf(character) >= 0;
    }

    /** Returns the normalized form of a path; see {@link #ofRequest}. */
    private static String normalize(String path) throws MalformedPathException {
        StringBuilder normalized = new StringBuilder(path.length());
        int index = 0;
        while (index < path.length()) {
            int octet = path.charAt(index++);
            if (octet == '%') {
                octet = decodeEscape(path, index);
                index += ESCAPE_DIGITS;
            }
            boolean repeatedSlash =
                    octet == '/' && normalized.length() > 0 && normalized.charAt(normalized.length() - 1) == '/';
            if (!repeatedSlash) {
                append(normalized, octet, path);
            }
        }
        return normalized.toString();
    }

    /** Appends an octet, escaped unless it is a literal character. */
    private static void append(StringBuilder normalized, int octet, String path) throws MalformedPathException {
        if (octet < ' ' || octet == '\\' || octet > MAXIMUM_OCTET) {
            throw new MalformedPathException("path \"" + path + "\" contains a character that is not allowed");
        }
        if (isLiteral(octet)) {
            normalized.append((char) octet);
            return;
        }
        normalized
                .append('%')
                .append(HEXADECIMAL_DIGITS.charAt(octet >> BITS_PER_DIGIT))
                .append(HEXADECIMAL_DIGITS.charAt(octet & HEXADECIMAL_DIGITS.length() - 1));
    }

    /**
     * Decodes an escape. Escaped separators are rejected, because recipients differ in whether they decode a path
     * before they split it.
     *
     * @param path the path
     * @param index the index of the first digit
     * @return the octet
     */
    private static int decodeEscape(String path, int index) throws MalformedPathException {
        if (index + ESCAPE_DIGITS > path.length()) {
            throw new MalformedPathException("path \"" + path + "\" ends within an escape");
        }
        int high = Character.digit(path.charAt(index), HEXADECIMAL_DIGITS.length());
        int low = Character.digit(path.charAt(index + 1), HEXADECIMAL_DIGITS.length());
        int octet = high << BITS_PER_DIGIT | low;
        if (high < 0 || low < 0 || octet == '/' || octet == ';') {
            throw new MalformedPathException(
                    "path \"" + path + "\" contains a malformed escape or an encoded separator");
        }
        return octet;
    }

    /** Rejects a path with a segment that recipients may resolve. */
    private static void rejectDotSegments(String normalized, String path) throws MalformedPathException {
        if (normalized.indexOf('.') < 0) {
            return;
        }
        for (String segment : normalized.split("[/;]", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                throw new MalformedPathException("path \"" + path + "\" contains a dot segment");
            }
        }
    }
}
