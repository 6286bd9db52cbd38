package org.chivecourse.gateway.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.settings.GatewaySettingsReader;

/** Reads a gateway's settings file again when it changes or when a signal asks for it. */
final class SettingsFileWatcher {

    /** The time between two looks at the file, in milliseconds. */
    private static final long POLL_INTERVAL_MILLISECONDS = 1000;

    /** The file. */
    private final Path file;

    /** The gateway. */
    private final Gateway gateway;

    /** The text that was read last. */
    private String lastText;

    /**
     * Creates a watch that is not started.
     *
     * @param file the file
     * @param gateway the gateway
     * @throws IOException if the file cannot be read
     */
    SettingsFileWatcher(Path file, Gateway gateway) throws IOException {
        this.file = file;
        this.gateway = gateway;
        lastText = Files.readString(file);
    }

    /** Starts to look at the file now and then, on a thread of its own. */
    void start() {
        Thread thread = new Thread(this::watch, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    /** Looks at the file until the thread is interrupted. */
    private void watch() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MILLISECONDS);
                reload("the settings file changed", false);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reads the file and has the gateway take it over.
     *
     * @param cause why it is read
     * @param evenIfUnchanged whether to do so though the file has not changed
     */
    synchronized void reload(String cause, boolean evenIfUnchanged) {
        try {
            String text = Files.readString(file);
            if (!evenIfUnchanged && text.equals(lastText)) {
                return;
            }
            lastText = text;
            GatewaySettings settings = GatewaySettingsReader.read(file.toString(), text);
            gateway.reload(settings, cause);
        } catch (DocumentException exception) {
            gateway.recordLifecycleEvent("reload refused", exception.getMessage());
        } catch (IOException exception) {
            gateway.recordLifecycleEvent("reload failed", exception.toString());
        }
    }
}
