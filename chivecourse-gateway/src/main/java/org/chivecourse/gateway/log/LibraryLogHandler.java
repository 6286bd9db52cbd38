package org.chivecourse.gateway.log;

import java.time.Clock;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Turns what libraries and the gateway itself tell the JDK's logging into JSON lines. */
public final class LibraryLogHandler extends Handler {

    /** The library's log of callers' malformed requests and cut connections, which the metrics count. */
    private static final String HTTP_SERVER_LOGGER_NAME = "reactor.netty.http.server";

    /** Tells the time of lines. */
    private final Clock clock;

    /** Writes lines. */
    private final LineQueue lines;

    /** Keeps the level of the library's log, which would be forgotten otherwise. */
    private final Logger httpServerLogger = Logger.getLogger(HTTP_SERVER_LOGGER_NAME);

    /**
     * Creates a handler.
     *
     * @param clock tells the time of lines
     * @param lines writes lines
     */
    public LibraryLogHandler(Clock clock, LineQueue lines) {
        this.clock = clock;
        this.lines = lines;
        setLevel(Level.WARNING);
    }

    /** Makes this the only handler of the JDK's logging. */
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
        // The queue writes by itself.
    }

    @Override
    public void close() {
        // The queue is stopped by whoever started it.
    }
}
