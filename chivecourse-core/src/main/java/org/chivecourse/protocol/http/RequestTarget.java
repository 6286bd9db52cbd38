package org.chivecourse.protocol.http;

import java.nio.charset.StandardCharsets;

/**
 * The target of a request.
 *
 * @param path the path that routing rules are matched against: decoded, without the query, with repeated slashes merged
 * @param pathAndQuery the path and query as the caller sent them, which are forwarded to backend servers
 */
public record RequestTarget(String path, String pathAndQuery) {

    /** The number of digits of a percent-encoded octet. */
    private static final int ESCAPE_DIGITS = 2;

    /** The base of the digits of a percent-encoded octet. */
    private static final int ESCAPE_BASE = 16;

    /**
     * Parses the target of a request.
     *
     * @param target the target as the caller sent it, in origin form or absolute form
     * @return the target
     * @throws BadRequestException if the target is malformed, or a backend server could interpret the path differently
     *     from the routing rules
     */
    public static RequestTarget parse(String target) throws BadRequestException {
        String originForm = toOriginForm(target);
        int query = originForm.indexOf('?');
        String rawPath = query < 0 ? originForm : originForm.substring(0, query);
        String path = decodePath(rawPath);
        for (String segment : path.split("[/;]", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                throw new BadRequestException("path \"" + rawPath + "\" contains a dot segment");
            }
        }
        return new RequestTarget(path, originForm);
    }

    /**
     * Removes the scheme and authority from a target in absolute form.
     *
     * @param target the target as the caller sent it
     * @return the path and query
     * @throws BadRequestException if the target has neither origin form nor absolute form
     */
    private static String toOriginForm(String target) throws BadRequestException {
        if (target.startsWith("/")) {
            return target;
        }
        int authority = target.indexOf("://");
        if (authority < 0) {
            throw new BadRequestException("target \"" + target + "\" is not a path");
        }
        int path = target.indexOf('/', authority + 3);
        return path < 0 ? "/" : target.substring(path);
    }

    /**
     * Decodes the percent-encoded octets of a path and merges repeated slashes.
     *
     * @param rawPath the path as the caller sent it
     * @return the decoded path
     * @throws BadRequestException if an escape is malformed or encodes a separator, or the path contains a control
     *     character, a backslash or a character above {@code 0xff}
     */
    private static String decodePath(String rawPath) throws BadRequestException {
        byte[] octets = new byte[rawPath.length()];
        int length = 0;
        int index = 0;
        while (index < rawPath.length()) {
            int octet = rawPath.charAt(index++);
            if (octet == '%') {
                octet = decodeEscape(rawPath, index);
                index += ESCAPE_DIGITS;
            }
            if (octet == '/' && length > 0 && octets[length - 1] == '/') {
                continue;
            }
            if (octet < ' ' || octet == '\\' || octet > 0xff) {
                throw new BadRequestException("path \"" + rawPath + "\" contains a character that is not allowed");
            }
            octets[length++] = (byte) octet;
        }
        return new String(octets, 0, length, StandardCharsets.UTF_8);
    }

    /**
     * Decodes a percent-encoded octet. Encoded separators are rejected, because recipients differ in whether they
     * decode a path before they split it.
     *
     * @param rawPath the path as the caller sent it
     * @param index the index of the first digit
     * @return the octet
     * @throws BadRequestException if the escape is malformed or encodes a slash or semicolon
     */
    private static int decodeEscape(String rawPath, int index) throws BadRequestException {
        if (index + ESCAPE_DIGITS > rawPath.length()) {
            throw new BadRequestException("path \"" + rawPath + "\" ends within an escape");
        }
        int high = Character.digit(rawPath.charAt(index), ESCAPE_BASE);
        int low = Character.digit(rawPath.charAt(index + 1), ESCAPE_BASE);
        int octet = high * ESCAPE_BASE + low;
        if (high < 0 || low < 0 || octet == '/' || octet == ';') {
            throw new BadRequestException(
                    "path \"" + rawPath + "\" contains a malformed escape or an encoded separator");
        }
        return octet;
    }
}
