package org.chivecourse.configuration.format;

import java.util.List;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.configuration.rule.Finding;
import org.chivecourse.configuration.rule.Severity;

/** The rule that a changed configuration has a higher revision. */
final class RevisionRule {

    /** Not to be constructed. */
    private RevisionRule() {}

    /**
     * Creates an exception for a revision that is not higher.
     *
     * @param revision the revision
     * @param minimumRevision the least revision allowed
     * @return the exception
     */
    static ConfigurationException createException(long revision, long minimumRevision) {
        String problem = "value \"" + revision + "\" is not allowed, allowed: at least " + minimumRevision
                + ", because gateways keep the highest revision; print old content again under a new one";
        Finding finding = new Finding(Severity.INVALID, "revision", problem);
        return new ConfigurationException("configuration revision " + revision, List.of(finding), path -> "");
    }
}
