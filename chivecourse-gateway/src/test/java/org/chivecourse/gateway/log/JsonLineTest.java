package org.chivecourse.gateway.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

/** Guards against log lines that grow with what callers or backend servers send. */
class JsonLineTest {

    @Test
    void cutsLongValue() {
        String line = new JsonLine().add("reason", "x".repeat(100_000)).toString();
        String kept = "x".repeat(JsonLine.MAXIMUM_VALUE_CHARACTERS);
        assertThat(line, equalTo("{\"reason\":\"" + kept + "...\"}"));
    }

    @Test
    void keepsValueOfMaximumLength() {
        String value = "x".repeat(JsonLine.MAXIMUM_VALUE_CHARACTERS);
        assertThat(new JsonLine().add("reason", value).toString(), equalTo("{\"reason\":\"" + value + "\"}"));
    }
}
