package org.chivecourse.gateway.log;

import java.util.logging.Handler;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.StructuredFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures the process to write its logs to the standard error stream as JSON lines. */
public final class JsonLogging {

    /** The system property that names the log manager of the JDK's logging. */
    private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

    /**
     * The logger on which Reactor Netty reports malformed requests and broken connections of callers. It is disabled,
     * because metrics count both.
     */
    private static final String HTTP_SERVER_LOGGER_NAME = "reactor.netty.http.server";

    /** Prevents instantiation. */
    private JsonLogging() {}

    /** Suppresses log records whose level is below warning. */
    public static void logWarningsOnly() {
        LogContext.getLogContext().getLogger("").setLevel(Level.WARN);
    }

    /** Installs the log manager and the JSON formatter. Must be called before the first logger is created. */
    public static void install() {
        System.setProperty(LOG_MANAGER_PROPERTY, "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        JsonFormatter formatter = new JsonFormatter();
        formatter.setPrettyPrint(false);
        formatter.setExceptionOutputType(StructuredFormatter.ExceptionOutputType.FORMATTED);
        ConsoleHandler handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter);
        handler.setAutoFlush(true);
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler existing : root.getHandlers()) {
            root.removeHandler(existing);
        }
        root.setLevel(Level.INFO);
        root.addHandler(handler);
        LogContext.getLogContext().getLogger(HTTP_SERVER_LOGGER_NAME).setLevel(Level.OFF);
    }
}
