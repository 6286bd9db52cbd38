package org.chivecourse.gateway.log;

import java.time.Clock;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes the warnings and errors that reach the JDK's logging as JSON lines. */
public final class LibraryLogHandler extends Handler {

    /**
     * The logger on which Reactor Netty reports malformed requests and broken connections of callers. It is disabled,
     * because metrics count both.
     */
    private static final String HTTP_SERVER_LOGGER_NAME = "reactor.netty.http.server";

    /** Supplies the timestamps of lines. */
    private final Clock clock;

    /** Writes the lines asynchronously. */
    private final LineQueue lines;

    /**
     * Holds a strong reference to the logger. The log manager references loggers weakly, so the level would be lost
     * when the logger is garbage collected.
     */
    private final Logger httpServerLogger = Logger.getLogger(HTTP_SERVER_LOGGER_NAME);

    /**
     * Creates a handler.
     *
     * @param clock supplies the timestamps of lines
     * @param lines writes the lines
     */
    public LibraryLogHandler(Clock clock, LineQueue lines) {
        this.clock = clock;
        this.lines = lines;
        setLevel(Level.WARNING);
    }

    /** Replaces all handlers of the JDK's logging by this one. */
    public void install() {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(this);
        httpServerLogger.setLevel(Level.OFF);
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        Throwable thrown = record.getThrown();
        lines.add(new JsonLine()
                .add("time", clock.millis())
                .add("event", "log")
                .add("level", record.getLevel().getName())
                .add("logger", record.getLoggerName())
                .add("message", record.getMessage())
                .add("thrown", thrown == null ? "" : thrown.toString())
                .add(
                        "at",
                        thrown == null || thrown.getStackTrace().length == 0
                                ? ""
                                : thrown.getStackTrace()[0].toString())
                .toString());
    }

    @Override
    public void flush() {
        // Nothing to flush: the queue writes lines on its own thread.
    }

    @Override
    public void close() {
        // Not closed here: the owner of the queue stops it.
    }
}
