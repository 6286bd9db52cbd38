package org.chivecourse.configuration.rule;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An address that gateways listen on or connect to. Only {@link #parse} creates one, for the check of a text and for
 * its use alike, so that a text that passes the check can be used.
 */
public final class Address {

    /** The description of the format for error messages. */
    public static final String ALLOWED_FORMAT = "a host name or IP address, a colon and a port from 1 to 65535";

    /** The pattern of an address: a bracketed IPv6 address, or a host name or IPv4 address, and a port. */
    private static final Pattern PATTERN = Pattern.compile("(\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]|[^:]+):([0-9]{1,5})");

    /** The pattern of an IPv4 address. */
    private static final Pattern IPV4_PATTERN =
            Pattern.compile("((25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])(\\.(?!$)|$)){4}");

    /** The pattern of a host name, whose last label begins with a letter, as RFC 1123 has it. */
    private static final Pattern HOST_NAME_PATTERN =
            Pattern.compile("([A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?\\.)*[A-Za-z]([A-Za-z0-9-]*[A-Za-z0-9])?\\.?");

    /** The maximum length of a host name, in characters. */
    private static final int MAXIMUM_HOST_NAME_CHARACTERS = 253;

    /** The maximum length of an address, in characters. A longer text is not matched against any pattern. */
    private static final int MAXIMUM_CHARACTERS = MAXIMUM_HOST_NAME_CHARACTERS + 6;

    /** The largest TCP or UDP port number. */
    private static final int MAXIMUM_PORT = 65_535;

    /** The host name or IP address, an IPv6 address in brackets. */
    private final String host;

    /** The IP address, {@code null} for a host name. */
    private final InetAddress ipAddress;

    /** The port, zero for any free one. */
    private final int port;

    /**
     * Creates an address.
     *
     * @param host the host name or IP address, an IPv6 address in brackets
     * @param ipAddress the IP address, {@code null} for a host name
     * @param port the port, zero for any free one
     */
    private Address(String host, InetAddress ipAddress, int port) {
        this.host = host;
        this.ipAddress = ipAddress;
        this.port = port;
    }

    /**
     * Returns the address that a text states. No host name is resolved.
     *
     * @param text the text, IPv6 addresses in brackets
     * @return the address, whose port may be zero, or empty if the text is not a host name or IP address, a colon and a
     *     port
     */
    public static Optional<Address> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (text.length() > MAXIMUM_CHARACTERS || !matcher.matches()) {
            return Optional.empty();
        }
        String host = matcher.group(1);
        int port = Integer.parseInt(matcher.group(2));
        if (port > MAXIMUM_PORT) {
            return Optional.empty();
        }
        if (!host.startsWith("[") && !IPV4_PATTERN.matcher(host).matches()) {
            boolean validName = host.length() <= MAXIMUM_HOST_NAME_CHARACTERS
                    && HOST_NAME_PATTERN.matcher(host).matches();
            return validName ? Optional.of(new Address(host, null, port)) : Optional.empty();
        }
        try {
            return Optional.of(new Address(host, InetAddress.getByName(host), port));
        } catch (UnknownHostException exception) {
            return Optional.empty();
        }
    }

    /**
     * Returns whether a text is a host name or IP address, a colon and a port from 1 to 65535. The host
     * name is not resolved.
     *
     * @param text the text, IPv6 addresses in brackets
     * @return whether the text is an address that can be connected to
     */
    public static boolean isValid(String text) {
        return parse(text).filter(address -> address.port > 0).isPresent();
    }

    /** Returns the socket address, which stays unresolved for a host name. */
    public InetSocketAddress socketAddress() {
        return ipAddress == null ? unresolvedAddress() : new InetSocketAddress(ipAddress, port);
    }

    /** Returns the unresolved socket address of the host name or IP address. */
    public InetSocketAddress unresolvedAddress() {
        return InetSocketAddress.createUnresolved(host, port);
    }
}
