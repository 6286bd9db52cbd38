package org.chivecourse.command.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Draws the results of a benchmark. */
final class BenchPlot {

    /** The width of the image in pixels. */
    private static final int WIDTH = 900;

    /** The height of the image in pixels. */
    private static final int HEIGHT = 500;

    /** Prevents instantiation. */
    private BenchPlot() {}

    /**
     * Writes a PNG image with the 99th percentile of the latencies of each round and variant.
     *
     * @param plan the plan of the benchmark
     * @param results the results
     * @param file the file without its extension
     * @throws IOException if the file cannot be written
     */
    static void write(BenchPlan plan, List<SliceResult> results, Path file) throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(plan.shape().serviceName() + ", " + plan.scenario() + ", p99 by round")
                .xAxisTitle("round")
                .yAxisTitle("milliseconds")
                .build();
        for (Variant variant : plan.variants()) {
            List<Integer> rounds = new ArrayList<>();
            List<Double> times = new ArrayList<>();
            for (SliceResult result : results) {
                if (result.variant() == variant) {
                    rounds.add(result.round());
                    times.add(result.p99Milliseconds());
                }
            }
            chart.addSeries(variant.name(), rounds, times);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
