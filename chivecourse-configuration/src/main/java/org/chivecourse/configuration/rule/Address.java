package org.chivecourse.configuration.rule;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The format of the addresses that gateways listen on and connect to. */
public final class Address {

    /** The description of the format for error messages. */
    public static final String ALLOWED_FORMAT = "a host name or IP address, a colon and a port from 1 to 65535";

    /**
     * The pattern of an address: a bracketed IPv6 address, or a host name or IPv4 address, and a port of up to five
     * digits.
     */
    private static final Pattern PATTERN = Pattern.compile("(\\[[0-9a-fA-F:.]+]|[A-Za-z0-9.-]+):([0-9]{1,5})");

    /** The largest TCP or UDP port number. */
    private static final int MAXIMUM_PORT = 65_535;

    /** Prevents instantiation. */
    private Address() {}

    /**
     * Returns whether a text is a host name or IP address, a colon and a port from 1 to 65535. The host
     * name is not resolved.
     *
     * @param text the text, IPv6 addresses in brackets
     * @return whether the text has the format of an address
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
