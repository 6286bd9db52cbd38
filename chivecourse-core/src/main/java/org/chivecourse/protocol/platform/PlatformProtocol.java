package org.chivecourse.protocol.platform;

/**
 * The constants of the long-polling protocol by which values of the platform are watched.
 *
 * <p>A reader requests a value newer than the version it has. The platform answers with status 200, the value and its
 * version as soon as there is a newer one, or with status 304 if there is none within the time that the reader waits.
 */
public final class PlatformProtocol {

    /** The path of the configuration. */
    public static final String CONFIGURATION_PATH = "/v1/configuration";

    /** The path of the host list. */
    public static final String HOSTS_PATH = "/v1/hosts";

    /** The header field that holds the version of a value. */
    public static final String VERSION_HEADER = "Platform-Version";

    /** The maximum size of a value. A larger one is rejected while it is read. */
    public static final int MAXIMUM_VALUE_BYTES = 1024 * 1024;

    /** This class has only static members. */
    private PlatformProtocol() {}

    /**
     * Returns the path and query of a request for a newer value.
     *
     * @param path the path of the value
     * @param version the version that the reader has, zero if it has none
     * @param waitMilliseconds the maximum time until the platform answers, zero for an immediate answer
     * @return the path and query
     */
    public static String watchUri(String path, long version, long waitMilliseconds) {
        return path + "?after=" + version + "&wait-milliseconds=" + waitMilliseconds;
    }
}
