package org.chivecourse.protocol.trace;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.configuration.format.LoadedConfiguration;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.configuration.rule.ConfigurationException;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.coordination.event.Event;

/** Writes and reads traces as lines of JSON: the start on the first line and a step on each further line. */
public final class TraceFormat {

    /** Converts between records and lines of JSON. */
    private final ObjectMapper mapper = new ObjectMapper();

    /** Creates a format that knows all types of events and decisions. */
    public TraceFormat() {
        SimpleModule module = new SimpleModule();
        module.addSerializer(LoadedConfiguration.class, new ConfigurationSerializer());
        module.addDeserializer(LoadedConfiguration.class, new ConfigurationDeserializer());
        module.addSerializer(PrintedConfiguration.class, new PrintedConfigurationSerializer());
        module.addDeserializer(PrintedConfiguration.class, new PrintedConfigurationDeserializer());
        mapper.registerModule(module);
        mapper.addMixIn(Event.class, TypeNameMixIn.class);
        mapper.addMixIn(Decision.class, TypeNameMixIn.class);
        for (Class<?> type : Event.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(type);
        }
        for (Class<?> type : Decision.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(type);
        }
    }

    /**
     * Writes a trace.
     *
     * @param trace the trace
     * @return the lines, each with its line break
     */
    public String write(Trace trace) {
        StringBuilder text = new StringBuilder(toLine(trace.start()));
        trace.steps().forEach(step -> text.append(toLine(step)));
        return text.toString();
    }

    /**
     * Converts a record to a line.
     *
     * @param value the start or a step of a trace
     * @return the line with its line break
     */
    private String toLine(Object value) {
        try {
            return mapper.writeValueAsString(value) + "\n";
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot convert a record of a trace to JSON", exception);
        }
    }

    /**
     * Reads a trace.
     *
     * @param source the name of the text's source, for error messages
     * @param text the lines
     * @return the trace
     * @throws TraceException if the text is empty, a line is malformed or the format is of another version
     */
    public Trace read(String source, String text) throws TraceException {
        List<String> lines = text.lines().toList();
        if (lines.isEmpty()) {
            throw new TraceException(source + ":1: the trace is empty");
        }
        TraceStart start = readLine(source, 1, lines.get(0), TraceStart.class);
        if (start.format() != TraceStart.FORMAT) {
            throw new TraceException(source + ":1: trace format " + start.format() + " is not the supported format "
                    + TraceStart.FORMAT);
        }
        List<TraceStep> steps = new ArrayList<>();
        for (int index = 1; index < lines.size(); index++) {
            steps.add(readLine(source, index + 1, lines.get(index), TraceStep.class));
        }
        return new Trace(start, steps);
    }

    /**
     * Reads a record from a line.
     *
     * @param source the name of the text's source, for error messages
     * @param lineNumber the number of the line, counted from one
     * @param line the line
     * @param type the type of the record
     * @param <T> the type of the record
     * @return the record
     * @throws TraceException if the line is malformed
     */
    private <T> T readLine(String source, int lineNumber, String line, Class<T> type) throws TraceException {
        try {
            return mapper.readValue(line, type);
        } catch (JsonProcessingException exception) {
            throw new TraceException(source + ":" + lineNumber + ": " + exception.getOriginalMessage());
        }
    }

    /** Adds the simple name of the record to each event and decision as the property {@code type}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    private interface TypeNameMixIn {}

    /** Writes a configuration that was read as its text. */
    private static final class ConfigurationSerializer extends JsonSerializer<LoadedConfiguration> {

        @Override
        public void serialize(LoadedConfiguration value, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeString(value.printed().text());
        }
    }

    /** Writes a configuration that is applied as its text. */
    private static final class PrintedConfigurationSerializer extends JsonSerializer<PrintedConfiguration> {

        @Override
        public void serialize(PrintedConfiguration value, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeString(value.text());
        }
    }

    /** Parses a configuration that was read from its text. */
    private static final class ConfigurationDeserializer extends JsonDeserializer<LoadedConfiguration> {

        @Override
        public LoadedConfiguration deserialize(JsonParser in, DeserializationContext context) throws IOException {
            try {
                return new ConfigurationReader().read("trace", in.getText());
            } catch (DocumentException | ConfigurationException exception) {
                throw new IOException("cannot read the configuration of a step: " + exception.getMessage());
            }
        }
    }

    /** Parses a configuration that is applied from its text. */
    private static final class PrintedConfigurationDeserializer extends JsonDeserializer<PrintedConfiguration> {

        @Override
        public PrintedConfiguration deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return new ConfigurationDeserializer().deserialize(in, context).printed();
        }
    }
}
