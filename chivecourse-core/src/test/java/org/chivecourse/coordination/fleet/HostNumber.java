package org.chivecourse.coordination.fleet;

/**
 * The number of a call or an attempt with the gateway that gave it, since each gateway numbers its own.
 *
 * @param host the name of the gateway
 * @param number the number
 */
record HostNumber(String host, long number) {

    /** Returns the data centre of a gateway by its name. */
    static String dataCentreOf(String host) {
        return "dc-" + Integer.parseInt(host.substring(host.indexOf('-') + 1)) % 3;
    }
}
