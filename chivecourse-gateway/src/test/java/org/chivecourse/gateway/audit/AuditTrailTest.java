package org.chivecourse.gateway.audit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.time.Clock;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.gateway.log.GatewayLog;
import org.junit.jupiter.api.Test;

/** Guards against changes that fill the memory of a gateway, because they hold what others wrote. */
class AuditTrailTest {

    private final AuditTrail trail = new AuditTrail("host", Clock.systemUTC(), GatewayLog.ForLogger.INSTANCE);

    private AuditRecord record(String name, String to, String cause) {
        trail.record(new Decision.Change(Decision.Subject.PUBLISHED_ITEM, name, "", to, cause, 7));
        return trail.latest().get(trail.latest().size() - 1);
    }

    @Test
    void keepsOnlyTheBeginningOfLongText() {
        AuditRecord kept = record("n".repeat(1_000_000), "t".repeat(1_000_000), "c".repeat(1_000_000));
        assertThat(kept.name().length() + kept.to().length() + kept.cause().length(), lessThan(2000));
        assertThat(kept.cause().substring(0, 5), equalTo("ccccc"));
    }

    @Test
    void keepsShortTextAsItIs() {
        AuditRecord kept = record("servers/i-1", "unreadable", "is not an object");
        assertThat(kept.name(), equalTo("servers/i-1"));
        assertThat(kept.to(), equalTo("unreadable"));
        assertThat(kept.cause(), equalTo("is not an object"));
    }
}
