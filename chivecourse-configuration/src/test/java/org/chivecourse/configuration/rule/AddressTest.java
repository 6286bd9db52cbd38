package org.chivecourse.configuration.rule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against addresses that pass the check at a boundary and then cannot be connected to. */
class AddressTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":80",
                "10.128.0.9",
                "10.128.0.9:",
                "10.128.0.9:0",
                "10.128.0.9:-1",
                "10.128.0.9:65536",
                "10.128.0.9:99999999999999999999",
                "10.128.0.9:80 ",
                "10.128.0.9:80\n",
                "10.128.0.9:80/path",
                "10.128.0.999:8080",
                "10.128.0:8080",
                "10.128.0.0.9:8080",
                "010.128.0.9:8080",
                "10.128.0.9.:8080",
                "[::::]:8080",
                "[1:2:3]:8080",
                "[]:8080",
                "[10.0.0.1]:80",
                "[fe80::1%2]:80",
                "::1:80",
                "-:1",
                ".:1",
                "a..b:1",
                "a-.b:1",
                ".a:1",
                "a.9:1",
                "7f3a:1",
                "us_er:1",
                "user@host:1",
                "h\u00f6st:1"
            })
    void addressThatCannotBeConnectedToIsInvalid(String text) {
        assertThat(Address.isValid(text), equalTo(false));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "10.128.0.9:8080",
                "127.0.0.1:1",
                "255.255.255.255:65535",
                "[::1]:8080",
                "[2001:DB8::10.0.0.1]:8080",
                "localhost:8080",
                "store-1.Example.com:8080",
                "store.example.com.:8080"
            })
    void usableAddressIsValid(String text) {
        assertThat(Address.isValid(text), equalTo(true));
    }

    /** A pattern that is matched again from each character would take hours for this text. */
    @Test
    void longTextIsInvalidWithoutBeingMatched() {
        assertThat(Address.isValid("[" + ":".repeat(1_000_000) + ":1"), equalTo(false));
        assertThat(Address.isValid("a.".repeat(1_000_000) + "a:1"), equalTo(false));
    }
}
