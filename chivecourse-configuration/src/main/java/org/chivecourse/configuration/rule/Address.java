package org.chivecourse.configuration.rule;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The shape of addresses that gateways listen on and connect to. */
public final class Address {

    /** What is allowed for an address. */
    public static final String ALLOWED_FORMAT = "a host name or IP number, a colon and a port from 1 to 65535";

    /** The pattern of addresses. */
    private static final Pattern PATTERN = Pattern.compile("(\\[[0-9a-fA-F:.]+]|[A-Za-z0-9.-]+):([0-9]{1,5})");

    /** The largest port. */
    private static final int MAXIMUM_PORT = 65_535;

    /** Not to be constructed. */
    private Address() {}

    /**
     * Returns whether a text has the shape of an address.
     *
     * @param text the text
     * @return {@code true} for a host name or IP number, a colon and a port from 1 to 65535
     */
    public static boolean isValid(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group(2));
        return port >= 1 && port <= MAXIMUM_PORT;
    }
}
