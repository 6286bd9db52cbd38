package org.chivecourse.protocol.platform;

/**
 * The long poll by which values of the platform are watched.
 *
 * <p>A reader asks for a value newer than the version it has. The platform answers with status 200, the value and its
 * version as soon as there is a newer one, or with status 304 after the time the reader is willing to wait.
 */
public final class PlatformProtocol {

    /** The path of the configuration. */
    public static final String CONFIGURATION_PATH = "/v1/configuration";

    /** The path of the host list. */
    public static final String HOSTS_PATH = "/v1/hosts";

    /** The header field with the version of a value. */
    public static final String VERSION_HEADER = "Platform-Version";

    /** The largest value, in bytes. */
    public static final int MAXIMUM_VALUE_BYTES = 1024 * 1024;

    /** Not to be constructed. */
    private PlatformProtocol() {}

    /**
     * Returns the address of a watch.
     *
     * @param path the path of the value
     * @param version the version that the reader has, zero for none
     * @param waitMilliseconds the time that the reader is willing to wait
     * @return the path and query
     */
    public static String watchUri(String path, long version, long waitMilliseconds) {
        return path + "?after=" + version + "&wait-milliseconds=" + waitMilliseconds;
    }
}
