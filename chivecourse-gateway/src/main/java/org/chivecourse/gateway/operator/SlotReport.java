package org.chivecourse.gateway.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.chivecourse.configuration.document.ConstantNames;
import org.chivecourse.coordination.reservation.SlotStatistics;
import org.chivecourse.state.reservation.NoAllocator;
import org.chivecourse.state.reservation.SlotWay;
import org.chivecourse.transport.driver.CoreDriver;

/** Reports what became of calls by the way in which they came to their slots, for metrics and the status document. */
final class SlotReport {

    /** The figures by name. */
    private static final Map<String, ToLongFunction<SlotStatistics>> FIGURES = figures();

    /** This class has only static methods. */
    private SlotReport() {}

    /** Returns all figures by name. */
    private static Map<String, ToLongFunction<SlotStatistics>> figures() {
        Map<String, ToLongFunction<SlotStatistics>> figures = new LinkedHashMap<>();
        for (SlotWay way : SlotWay.values()) {
            for (SlotStatistics.Result result : SlotStatistics.Result.values()) {
                String name = "calls." + ConstantNames.of(way) + '.' + ConstantNames.of(result);
                figures.put(name, statistics -> statistics.calls(way, result));
            }
        }
        for (NoAllocator reason : NoAllocator.values()) {
            figures.put("passed-over." + ConstantNames.of(reason), statistics -> statistics.passedOver(reason));
        }
        for (int range = 0; range <= SlotStatistics.replyBounds(); range++) {
            int counted = range;
            figures.put("replied." + SlotStatistics.replyLabel(range), statistics -> statistics.replies(counted));
        }
        return figures;
    }

    /** Registers a gauge for each figure. */
    static void register(MetricRegistry metrics, CoreDriver driver) {
        FIGURES.forEach((name, figure) -> metrics.register("slots." + name, (Gauge<Long>)
                () -> driver.read(core -> figure.applyAsLong(core.reservations().statistics()))));
    }

    /** Adds the figures that are not zero. */
    static void add(ObjectNode node, SlotStatistics statistics) {
        FIGURES.forEach((name, figure) -> {
            long value = figure.applyAsLong(statistics);
            if (value != 0) {
                node.put(name, value);
            }
        });
    }
}
