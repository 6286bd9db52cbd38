package org.chivecourse.coordination.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chivecourse.configuration.model.CallerRoute;
import org.chivecourse.configuration.model.Idempotency;
import org.chivecourse.configuration.model.ServiceShare;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that get the wrong route, through prefixes or host names that match only in part, and against
 * services that get more or less than their share of a route.
 */
class RouteTableTest {

    private static RouteTable table(CallerRoute... routes) {
        return new RouteTable(List.of(routes), new SplittableRandom(1));
    }

    @Test
    void selectsRouteWithLongestPrefix() {
        RouteTable table =
                table(CallerRoute.of("short", "h", "/a/", "jobs"), CallerRoute.of("long", "h", "/a/b/", "jobs"));
        assertThat(table.route("h", "/a/b/c").name(), equalTo("long"));
        assertThat(table.route("h", "/a/c").name(), equalTo("short"));
    }

    @Test
    void ignoresRoutesOfOtherHosts() {
        assertThat(table(CallerRoute.of("r", "h", "/a/", "jobs")).route("g", "/a/b"), nullValue());
    }

    @Test
    void ignoresPathsThatOnlyStartLikeThePrefix() {
        assertThat(table(CallerRoute.of("r", "h", "/a/", "jobs")).route("h", "/ab"), nullValue());
    }

    @Property(tries = 100)
    void splitsRequestsByWeightWithinOneRequest(
            @ForAll @IntRange(min = 1, max = 99) int weight, @ForAll @IntRange(min = 20, max = 400) int requests) {
        CallerRoute route = CallerRoute.of("r", "h", "/a/", "x")
                .split(List.of(new ServiceShare("x", weight), new ServiceShare("y", 100 - weight)));
        RouteTable table = new RouteTable(List.of(route), new SplittableRandom(weight));
        int first = 0;
        for (int count = 0; count < requests; count++) {
            first += table.nextService(route).equals("x") ? 1 : 0;
        }
        assertThat((double) first, closeTo(requests * weight / 100.0, 1.01));
    }

    @Test
    void sendsNothingToServiceOfZeroWeight() {
        CallerRoute route =
                CallerRoute.of("r", "h", "/a/", "x").split(List.of(new ServiceShare("x", 0), new ServiceShare("y", 5)));
        RouteTable table = table(route);
        for (int count = 0; count < 50; count++) {
            assertThat(table.nextService(route), equalTo("y"));
        }
    }

    @Test
    void splitsRequestsByWeightsWhoseSumExceedsAnInteger() {
        CallerRoute route = CallerRoute.of("r", "h", "/a/", "x")
                .split(List.of(new ServiceShare("x", 2_000_000_000), new ServiceShare("y", 2_000_000_000)));
        RouteTable table = table(route);
        int first = 0;
        for (int count = 0; count < 100; count++) {
            first += table.nextService(route).equals("x") ? 1 : 0;
        }
        assertThat(first, equalTo(50));
    }

    @Test
    void routesOfSameNameKeepTheirOwnServices() {
        RouteTable table = table(CallerRoute.of("r", "h", "/a/", "jobs"), CallerRoute.of("r", "h", "/b/", "others"));
        assertThat(table.nextService(table.route("h", "/a/1")), equalTo("jobs"));
        assertThat(table.nextService(table.route("h", "/b/1")), equalTo("others"));
    }

    @Test
    void selectsRouteWhosePrefixIsWrittenWithEscapes() {
        RouteTable table = table(
                CallerRoute.of("lookups", "h", "/jobs/", "jobs"),
                CallerRoute.of("orders", "h", "/jobs/naro%c4%8dila/", "jobs"));
        assertThat(table.route("h", "/jobs/naro%C4%8Dila/7").name(), equalTo("orders"));
    }

    @Test
    void prefersRouteThatMayNotBeRepeatedOfTwoWithSamePrefix() {
        RouteTable table = table(
                CallerRoute.of("lookups", "h", "/a//b/", "jobs"),
                CallerRoute.of("orders", "h", "/a/b/", "jobs").idempotency(Idempotency.NOT_IDEMPOTENT));
        assertThat(table.route("h", "/a/b/7").name(), equalTo("orders"));
    }

    @Test
    void ignoresRouteWhosePrefixNoRequestHas() {
        RouteTable table =
                table(CallerRoute.of("bad", "h", "/a%2Fb/", "jobs"), CallerRoute.of("good", "h", "/a/", "jobs"));
        assertThat(table.route("h", "/a/b/c").name(), equalTo("good"));
    }
}
