package org.chivecourse.transport.connection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.jboss.logging.Logger;

/** The number of descriptors that this process may have open, as the operating system states it. */
public final class ProcessDescriptors {

    /** The logger of this class. */
    private static final Logger LOGGER = Logger.getLogger(ProcessDescriptors.class);

    /** The limits of a process, of which each is a line with the one in force and the highest that it may set. */
    private static final Path LIMITS = Path.of("/proc/self/limits");

    /** The line of open descriptors, with the limit in force. */
    private static final Pattern LINE = Pattern.compile("Max open files\\s+(\\d{1,18})\\s.*");

    /** Prevents instantiation. */
    private ProcessDescriptors() {}

    /** Returns the largest number of open descriptors, {@link Long#MAX_VALUE} if none is stated. */
    public static long maximum() {
        if (!Files.exists(LIMITS)) {
            return Long.MAX_VALUE;
        }
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.map(LINE::matcher)
                    .filter(Matcher::matches)
                    .map(line -> Long.parseLong(line.group(1)))
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
        } catch (IOException exception) {
            LOGGER.warnf("the limit on descriptors cannot be read: %s", exception.getMessage());
            return Long.MAX_VALUE;
        }
    }
}
