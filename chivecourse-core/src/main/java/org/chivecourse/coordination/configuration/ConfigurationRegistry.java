package org.chivecourse.coordination.configuration;

import java.util.Optional;
import org.chivecourse.configuration.format.LoadedConfiguration;

/**
 * The configuration in force on a host. It is only ever replaced by a higher one, ordered by revision and then by
 * digest, so that all hosts select the same one, in whatever order they receive them.
 */
public final class ConfigurationRegistry {

    /** The configuration in force, {@code null} before the first one. */
    private LoadedConfiguration current;

    /** The last conflict of two configurations with the same revision, empty if there was none. */
    private String conflict = "";

    /** The reason for the last rejection of a configuration, empty if there was none. */
    private String rejection = "";

    /**
     * Puts a configuration in force if it is higher than the current one.
     *
     * @param offered the configuration
     * @return {@code true} if it is now in force
     */
    public boolean offer(LoadedConfiguration offered) {
        if (current == null) {
            current = offered;
            return true;
        }
        recordConflict(offered);
        if (offered.printed().compareTo(current.printed()) <= 0) {
            return false;
        }
        current = offered;
        return true;
    }

    /** Records a conflict if the offered configuration has the revision of the current one but differs from it. */
    private void recordConflict(LoadedConfiguration offered) {
        long revision = current.printed().configuration().revision();
        boolean sameRevision = offered.printed().configuration().revision() == revision;
        int order = offered.printed().compareTo(current.printed());
        if (!sameRevision || order == 0) {
            return;
        }
        String offeredDigest = offered.printed().digest();
        String currentDigest = current.printed().digest();
        String retained = order > 0 ? offeredDigest : currentDigest;
        String discarded = order > 0 ? currentDigest : offeredDigest;
        conflict = "revision " + revision + " was published twice, kept " + retained + ", lost " + discarded;
    }

    /**
     * Records that a configuration was rejected.
     *
     * @param reason what is wrong with it
     */
    public void recordRejection(String reason) {
        rejection = reason;
    }

    /** Returns the configuration in force, empty before the first one. */
    public Optional<LoadedConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the revision in force, zero before the first one. */
    public long revision() {
        return current == null ? 0 : current.printed().configuration().revision();
    }

    /** Returns the digest of the configuration in force, empty before the first one. */
    public String digest() {
        return current == null ? "" : current.printed().digest();
    }

    /**
     * Returns a description of the last conflict of two configurations with the same revision, empty if there was none.
     */
    public String conflict() {
        return conflict;
    }

    /** Returns the reason for the last rejection of a configuration, empty if there was none. */
    public String rejection() {
        return rejection;
    }
}
