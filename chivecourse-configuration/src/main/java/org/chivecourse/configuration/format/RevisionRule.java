package org.chivecourse.configuration.format;

import java.util.List;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.configuration.rule.Finding;
import org.chivecourse.configuration.rule.Severity;

/** The rule that a changed configuration has a higher revision than the previous one. */
final class RevisionRule {

    /** Prevents instantiation. */
    private RevisionRule() {}

    /**
     * Returns an exception for a revision that is not higher than the previous one.
     *
     * @param revision the rejected revision
     * @param minimumRevision the lowest allowed revision
     * @return the exception
     */
    static ConfigurationException createException(long revision, long minimumRevision) {
        String problem = "value \"" + revision + "\" is not allowed, allowed: at least " + minimumRevision
                + ", because gateways keep the highest revision; to restore old content, print it under a higher one";
        Finding finding = new Finding(Severity.INVALID, "revision", problem);
        return new ConfigurationException("configuration revision " + revision, List.of(finding), path -> "");
    }
}
