package org.chivecourse.state.publication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ValueDifferenceTest {

    private static final int MAXIMUM_BYTES = 1 << 20;

    private static byte[] routes(int count, int changedRoute) {
        StringBuilder text =
                new StringBuilder("{\"revision\":").append(changedRoute).append(",\"rows\":[");
        for (int route = 0; route < count; route++) {
            int timeout = route == changedRoute ? 777 : 1000 + route % 7;
            text.append("[\"route-")
                    .append(route)
                    .append("\",\"host-")
                    .append(route % 50)
                    .append(".example\",");
            text.append(timeout).append("],");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** One change of many routes has to fit into a datagram. */
    @Test
    void differenceOfOneRouteIsSmall() {
        byte[] base = routes(1400, 3);
        byte[] target = routes(1400, 900);
        byte[] difference = ValueDifference.between(base, target);
        assertThat(difference.length, lessThan(300));
        assertThat(ValueDifference.apply(base, difference, MAXIMUM_BYTES), equalTo(target));
    }

    @Property(tries = 300, seed = "20261205")
    boolean restoresAnyValue(@ForAll @Size(max = 400) byte[] base, @ForAll @Size(max = 400) byte[] target) {
        byte[] restored = ValueDifference.apply(base, ValueDifference.between(base, target), MAXIMUM_BYTES);
        return Arrays.equals(restored, target);
    }

    @Property(tries = 300, seed = "20261205")
    boolean restoresValueWithMovedParts(
            @ForAll @Size(min = 100, max = 2000) byte[] base,
            @ForAll @IntRange(max = 99) int cut,
            @ForAll @Size(max = 30) byte[] inserted) {
        byte[] target = new byte[base.length + inserted.length];
        System.arraycopy(base, cut, target, 0, base.length - cut);
        System.arraycopy(inserted, 0, target, base.length - cut, inserted.length);
        System.arraycopy(base, 0, target, base.length - cut + inserted.length, cut);
        byte[] restored = ValueDifference.apply(base, ValueDifference.between(base, target), MAXIMUM_BYTES);
        return Arrays.equals(restored, target);
    }

    /** Bytes that are no difference must not stop the gateway that receives them. */
    @Property(tries = 500, seed = "20261205")
    boolean anyBytesAreAppliedOrRejected(@ForAll @Size(max = 60) byte[] difference) {
        byte[] value = ValueDifference.apply(new byte[100], difference, 500);
        return value == null || value.length <= 500;
    }

    @Test
    void rejectsPartsOutsideBase() {
        assertThat(ValueDifference.apply(new byte[10], new byte[] {0, 5, 6}, MAXIMUM_BYTES), nullValue());
    }
}
