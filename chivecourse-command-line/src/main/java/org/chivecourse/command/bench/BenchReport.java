package org.chivecourse.command.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.chivecourse.standin.load.Result;

/** Formats the results of a benchmark as a table and as JSON. */
public final class BenchReport {

    /** The mapper that writes indented JSON. */
    private final ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** The plan of the benchmark. */
    private final BenchPlan plan;

    /** The results in the order of their measurement. */
    private final List<SliceResult> results;

    /**
     * Creates a report.
     *
     * @param plan the plan of the benchmark
     * @param results the results in the order of their measurement
     */
    public BenchReport(BenchPlan plan, List<SliceResult> results) {
        this.plan = plan;
        this.results = List.copyOf(results);
    }

    /**
     * Formats a table with the range of each variant's latencies. Ratios and differences to the baseline are taken
     * round by round.
     */
    public String formatTable() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%s, %s, %.0f requests/s, %d gateways, %d rounds of %d s, seed %d%n",
                plan.shape().serviceName(),
                plan.scenario(),
                plan.requestsPerSecond(),
                plan.gateways(),
                plan.rounds(),
                plan.sliceDuration().toSeconds(),
                plan.seed()));
        text.append(String.format(
                "%-20s %28s %28s %24s %24s %8s %7s%n",
                "variant",
                "p50 ms (min med max)",
                "p99 ms (min med max)",
                "p99 / first (min med max)",
                "p99 - first ms",
                "failed",
                "broken"));
        plan.variants().forEach(variant -> text.append(formatRow(variant)));
        return text.toString();
    }

    /**
     * Formats the row of a variant.
     *
     * @param variant the variant
     */
    private String formatRow(Variant variant) {
        List<SliceResult> variantResults = resultsOf(variant);
        List<SliceResult> baselineResults = resultsOf(plan.variants().get(0));
        List<Double> ratios = new ArrayList<>();
        List<Double> differences = new ArrayList<>();
        for (int index = 0; index < variantResults.size(); index++) {
            ratios.add(variantResults.get(index).p99Milliseconds()
                    / baselineResults.get(index).p99Milliseconds());
            differences.add(variantResults.get(index).p99Milliseconds()
                    - baselineResults.get(index).p99Milliseconds());
        }
        int failedCount =
                variantResults.stream().mapToInt(BenchReport::failedRequests).sum();
        int violations =
                variantResults.stream().mapToInt(SliceResult::violations).sum();
        return String.format(
                "%-20s %28s %28s %24s %24s %8d %7d%n",
                variant,
                formatSpread(values(variantResults, SliceResult::p50Milliseconds)),
                formatSpread(values(variantResults, SliceResult::p99Milliseconds)),
                formatSpread(ratios),
                formatSpread(differences),
                failedCount,
                violations);
    }

    /**
     * Returns the number of requests that were not answered.
     *
     * @param result the result of a measurement
     */
    private static int failedRequests(SliceResult result) {
        return result.results().entrySet().stream()
                .filter(entry -> entry.getKey() != Result.ANSWERED)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /**
     * Returns the results of a variant in the order of rounds.
     *
     * @param variant the variant
     */
    private List<SliceResult> resultsOf(Variant variant) {
        return results.stream().filter(result -> result.variant() == variant).toList();
    }

    /**
     * Extracts a value from each result.
     *
     * @param selectedResults the results
     * @param figure extracts the value
     * @return the values in the order of the results
     */
    private static List<Double> values(List<SliceResult> selectedResults, ToDoubleFunction<SliceResult> figure) {
        return selectedResults.stream().map(figure::applyAsDouble).toList();
    }

    /**
     * Formats the minimum, the median and the maximum of values.
     *
     * @param values the values in any order
     * @return the text, a hyphen if there are no values
     */
    private static String formatSpread(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        if (sorted.isEmpty()) {
            return "-";
        }
        return String.format(
                Locale.ROOT,
                "%.3f %.3f %.3f",
                sorted.get(0),
                sorted.get(sorted.size() / 2),
                sorted.get(sorted.size() - 1));
    }

    /** Formats the plan and all results as a JSON document. */
    public String toJson() {
        ObjectNode root = mapper.createObjectNode();
        root.put("service", plan.shape().serviceName());
        root.put("scenario", plan.scenario().name());
        root.put("requests-per-second", plan.requestsPerSecond());
        root.put("gateways", plan.gateways());
        root.put("slice-seconds", plan.sliceDuration().toSeconds());
        root.put("seed", plan.seed());
        ArrayNode list = root.putArray("results");
        for (SliceResult result : results) {
            ObjectNode node = list.addObject();
            node.put("variant", result.variant().name());
            node.put("round", result.round());
            node.put("p50-milliseconds", result.p50Milliseconds());
            node.put("p99-milliseconds", result.p99Milliseconds());
            node.put("p999-milliseconds", result.p999Milliseconds());
            node.put("broken", result.violations());
            node.put("load-average", result.loadAverage());
            ObjectNode counts = node.putObject("results");
            result.results().forEach((kind, count) -> counts.put(kind.name(), count));
        }
        try {
            return mapper.writeValueAsString(root) + "\n";
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("JSON tree could not be serialized", exception);
        }
    }
}
