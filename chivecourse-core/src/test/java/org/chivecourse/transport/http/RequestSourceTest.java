package org.chivecourse.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.chivecourse.configuration.model.Method;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.protocol.http.BadRequestException;
import org.chivecourse.protocol.http.HeaderNames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests from elsewhere that pass for those of another gateway. */
class RequestSourceTest {

    private final Arrival arrival = new Arrival(Method.GET, "/lookups/1");

    private final HttpHeaders headers = new DefaultHttpHeaders();

    private final RequestSource gateways = new RequestSource.Gateways("10.1.0.10"::equals);

    @Test
    void acceptsOnlyMembersOfTheFleet() {
        assertThat(gateways.accepts("10.1.0.10"), equalTo(true));
        assertThat(gateways.accepts("10.1.0.1"), equalTo(false));
    }

    @Test
    void readsAttemptsAndFingerprint() throws Exception {
        headers.set(HeaderNames.FORWARDED_ATTEMPTS, 2);
        headers.set(HeaderNames.FORWARDED_FINGERPRINT, Long.toHexString(-7));
        Arrival forwarded = gateways.complete(arrival, headers);
        assertThat(forwarded.forwardedAttempts(), equalTo(2));
        assertThat(forwarded.fingerprint(), equalTo(-7L));
    }

    @ParameterizedTest
    @CsvSource({"'', 1", "0, 1", "-1, 1", "101, 1", "many, 1", "1, ''", "1, xyz", "1, 11112222333344445"})
    void refusesMissingAndMalformedFields(String attempts, String fingerprint) {
        headers.set(HeaderNames.FORWARDED_ATTEMPTS, attempts);
        headers.set(HeaderNames.FORWARDED_FINGERPRINT, fingerprint);
        assertThrows(BadRequestException.class, () -> gateways.complete(arrival, headers));
    }

    @Test
    void ignoresWhatCallersClaim() {
        headers.set(HeaderNames.FORWARDED_ATTEMPTS, 2);
        assertThat(RequestSource.Callers.INSTANCE.complete(arrival, headers), equalTo(arrival));
    }
}
