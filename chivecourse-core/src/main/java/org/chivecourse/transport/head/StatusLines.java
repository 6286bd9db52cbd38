package org.chivecourse.transport.head;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Reads the status lines of the answer to one request, informational ones included, byte by byte. What follows the head
 * of the final answer is not read. The decoder of the HTTP library loses how a status was written.
 */
final class StatusLines {

    /** Matches the start of a status line of RFC 9112, section 4, up to the space that follows the status. */
    private static final Pattern START = Pattern.compile("HTTP/\\d\\.\\d [1-5]\\d\\d ");

    /** The number of characters that such a start has. */
    private static final int START_CHARACTERS = "HTTP/1.1 200 ".length();

    /** The index of the first digit of the status. */
    private static final int STATUS_INDEX = "HTTP/1.1 ".length();

    /** The start of the line with which a server changes the protocol, which gateways never ask for. */
    private static final String SWITCHING_STATUS = "101";

    /** The start of the line that is being read. */
    private final StringBuilder line = new StringBuilder();

    /** Whether the next line is a status line. */
    private boolean statusExpected = true;

    /** Whether another answer follows the one whose head is being read. */
    private boolean informational;

    /** Whether the head of the final answer has been read. */
    private boolean ended;

    /** Prepares for the answer to the next request. */
    void restart() {
        line.setLength(0);
        statusExpected = true;
        ended = false;
    }

    /** Returns whether the head of the final answer has been read, so that what follows is none of it. */
    boolean ended() {
        return ended;
    }

    /**
     * Reads a byte.
     *
     * @param octet the byte
     * @return {@code false} if it ends a line that had to be a status line and is none
     */
    boolean accept(byte octet) {
        if (octet != '\n') {
            if (line.length() < START_CHARACTERS && octet != '\r') {
                line.append(new String(new byte[] {octet}, StandardCharsets.ISO_8859_1));
            }
            return true;
        }
        String text = line.toString();
        line.setLength(0);
        if (statusExpected) {
            return text.isEmpty() || acceptStatus(text);
        }
        if (text.isEmpty()) {
            statusExpected = informational;
            ended = !informational;
        }
        return true;
    }

    /** Reads the start of a status line, and returns whether it is one. */
    private boolean acceptStatus(String text) {
        if (!START.matcher(text).matches() || text.startsWith(SWITCHING_STATUS, STATUS_INDEX)) {
            return false;
        }
        statusExpected = false;
        informational = text.charAt(STATUS_INDEX) == '1';
        return true;
    }
}
