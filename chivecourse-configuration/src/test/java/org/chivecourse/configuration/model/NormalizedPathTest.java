package org.chivecourse.configuration.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against paths and prefixes that name the same segments and are compared as different, or the reverse. */
class NormalizedPathTest {

    @ParameterizedTest
    @CsvSource({
        "/jobs/naro%C4%8Dila/7, /jobs/naro%C4%8Dila/7",
        "/jobs/naro%c4%8dila/7, /jobs/naro%C4%8Dila/7",
        "/jobs/%7e/%41, /jobs/~/A",
        "/a//b///c, /a/b/c",
        "/a%20b%25, /a%20b%25",
        "/a%2525, /a%2525",
    })
    void normalizesRequests(String path, String expected) throws MalformedPathException {
        assertThat(NormalizedPath.ofRequest(path), equalTo(expected));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/a%2Fb",
                "/a%3bb",
                "/a/../b",
                "/a/%2e%2E/b",
                "/a/.;x/b",
                "/a%",
                "/a%4",
                "/a%zz",
                "/a\\b",
                "/a%00"
            })
    void rejectsWhatRecipientsUnderstandDifferently(String path) {
        assertThrows(MalformedPathException.class, () -> NormalizedPath.ofRequest(path));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/a%2Fb/", "/a%3bb/", "/a/../b/", "/a/%2e%2E/b/", "/a/.;x/b/", "/a\\b/", "/a%00/"})
    void rejectsPrefixesThatNoRequestHas(String prefix) {
        assertThrows(MalformedPathException.class, () -> NormalizedPath.ofPrefix(prefix));
    }

    /** A request has such a sign only as an escape; without its route it would take that of a shorter prefix. */
    @ParameterizedTest
    @ValueSource(strings = {"/a/100%/", "/a/100%25/"})
    void percentSignOfPrefixMatchesItsEscape(String prefix) throws MalformedPathException {
        assertThat(NormalizedPath.ofRequest("/a/100%25/7"), startsWith(NormalizedPath.ofPrefix(prefix)));
    }

    @Property(tries = 300)
    void prefixMatchesItsPathsHoweverBothAreWritten(
            @ForAll @AlphaChars @Chars({'č', 'é', ' ', '%', '~', '漢'}) @StringLength(min = 1, max = 12) String segment,
            @ForAll boolean lowerCase)
            throws MalformedPathException {
        String escaped = escape(segment);
        String path = "/x/" + (lowerCase ? escaped.toLowerCase(Locale.ROOT) : escaped) + "//7";
        String literal = "/x/" + segment.replace("%", "%25") + "/";
        assertThat(NormalizedPath.ofRequest(path), startsWith(NormalizedPath.ofPrefix(literal)));
        assertThat(NormalizedPath.ofPrefix("/x//" + escaped + "/"), equalTo(NormalizedPath.ofPrefix(literal)));
    }

    @Property(tries = 300)
    void differentOctetsStayDifferent(
            @ForAll @Chars({'%', 'ÿ', 'þ', 'F', '2'}) @StringLength(max = 6) String one,
            @ForAll @Chars({'%', 'ÿ', 'þ', 'F', '2'}) @StringLength(max = 6) String other)
            throws MalformedPathException {
        boolean equal =
                NormalizedPath.ofRequest("/" + escape(one)).equals(NormalizedPath.ofRequest("/" + escape(other)));
        assertThat(equal, equalTo(one.equals(other)));
    }

    /** Escapes each octet of a text. */
    private static String escape(String text) {
        StringBuilder escaped = new StringBuilder();
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            escaped.append(String.format(Locale.ROOT, "%%%02X", octet));
        }
        return escaped.toString();
    }
}
