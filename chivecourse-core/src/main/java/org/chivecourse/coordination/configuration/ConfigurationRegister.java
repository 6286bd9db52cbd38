package org.chivecourse.coordination.configuration;

import java.util.Optional;
import org.chivecourse.configuration.format.ReadConfiguration;

/** The configuration in force on a host, which only ever moves to a higher one. */
public final class ConfigurationRegister {

    /** The configuration in force, {@code null} before the first. */
    private ReadConfiguration current;

    /** The last conflict of two configurations under one revision, empty if there was none. */
    private String conflict = "";

    /** The last reason for which a configuration was rejected, empty if there was none. */
    private String rejection = "";

    /**
     * Offers a configuration.
     *
     * @param offered the configuration
     * @return {@code true} if it is in force from now on
     */
    public boolean offer(ReadConfiguration offered) {
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

    /**
     * Records a conflict if the offered configuration shares its revision with a different one.
     *
     * @param offered the offered configuration
     */
    private void recordConflict(ReadConfiguration offered) {
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

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty before the first
     */
    public Optional<ReadConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision, zero before the first
     */
    public long revision() {
        return current == null ? 0 : current.printed().configuration().revision();
    }

    /**
     * Returns the digest of the configuration in force.
     *
     * @return the digest, empty before the first
     */
    public String digest() {
        return current == null ? "" : current.printed().digest();
    }

    /**
     * Returns the last conflict of two configurations under one revision.
     *
     * @return the conflict, empty if there was none
     */
    public String conflict() {
        return conflict;
    }

    /**
     * Returns the last reason for which a configuration was rejected.
     *
     * @return the reason, empty if there was none
     */
    public String rejection() {
        return rejection;
    }
}
