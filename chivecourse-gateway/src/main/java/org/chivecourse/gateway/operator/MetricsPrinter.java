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

/** Formats metrics as JSON and in the Prometheus text format. */
public final class MetricsPrinter {

    /** The metrics of the gateway. */
    private final MetricRegistry registry;

    /** The mapper for the JSON format, {@code null} before the first use. */
    private ObjectMapper mapper;

    /** The registry for the Prometheus format, {@code null} before the first use. */
    private CollectorRegistry collectorRegistry;

    /**
     * Creates a printer.
     *
     * @param registry the metrics of the gateway
     */
    public MetricsPrinter(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the metrics as a JSON document. */
    public synchronized String json() {
        if (mapper == null) {
            mapper = new ObjectMapper()
                    .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
        }
        try {
            return mapper.writeValueAsString(registry);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot format the metrics", exception);
        }
    }

    /** Returns the metrics in the Prometheus text format. */
    public synchronized String text() {
        if (collectorRegistry == null) {
            collectorRegistry = new CollectorRegistry();
            collectorRegistry.register(new DropwizardExports(registry));
        }
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, collectorRegistry.metricFamilySamples());
        } catch (IOException exception) {
            throw new IllegalStateException("cannot format the metrics", exception);
        }
        return writer.toString();
    }
}
