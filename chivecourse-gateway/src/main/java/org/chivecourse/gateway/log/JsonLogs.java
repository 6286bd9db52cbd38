package org.chivecourse.gateway.log;

import java.util.logging.Handler;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.StructuredFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sends the process's logs to the standard error stream as JSON lines. */
public final class JsonLogs {

    /** The system property that names the log manager of the JDK's logging. */
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";

    /** Not to be constructed. */
    private JsonLogs() {}

    /**
     * Sets logging up; to be called before the first logger is created.
     */
    public static void install() {
        System.setProperty(MANAGER_PROPERTY, "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        JsonFormatter formatter = new JsonFormatter();
        formatter.setPrettyPrint(false);
        formatter.setExceptionOutputType(StructuredFormatter.ExceptionOutputType.FORMATTED);
        ConsoleHandler handler = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter);
        handler.setAutoFlush(true);
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
        }
        root.setLevel(Level.INFO);
        root.addHandler(handler);
    }
}
