package org.chivecourse.gateway.operator;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;

/** Prints metrics as JSON and in the text format of scrapers. */
public final class MetricsPrinter {

    /** The metrics. */
    private final MetricRegistry registry;

    /** The mapper that prints metrics as JSON, {@code null} before the first use. */
    private ObjectMapper mapper;

    /** The registry that prints metrics as text, {@code null} before the first use. */
    private CollectorRegistry collectorRegistry;

    /**
     * Creates a printer.
     *
     * @param registry the metrics
     */
    public MetricsPrinter(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Prints the metrics as JSON.
     *
     * @return the JSON document
     */
    public synchronized String json() {
        if (mapper == null) {
            mapper = new ObjectMapper()
                    .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
        }
        try {
            return mapper.writeValueAsString(registry);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("the metrics could not be printed", exception);
        }
    }

    /**
     * Prints the metrics in the text format.
     *
     * @return the text
     */
    public synchronized String text() {
        if (collectorRegistry == null) {
            collectorRegistry = new CollectorRegistry();
            collectorRegistry.register(new DropwizardExports(registry));
        }
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, collectorRegistry.metricFamilySamples());
        } catch (IOException exception) {
            throw new IllegalStateException("the metrics could not be printed", exception);
        }
        return writer.toString();
    }
}
