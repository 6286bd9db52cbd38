package org.chivecourse.gateway.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.chivecourse.configuration.document.DocumentException;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.gateway.settings.GatewaySettingsReader;

/** Reloads a gateway's settings when their file changes or a signal requests it. */
final class SettingsFileWatcher {

    /** The interval at which the file is polled for changes, in milliseconds. */
    private static final long POLL_INTERVAL_MILLISECONDS = 1000;

    /** The settings file. */
    private final Path file;

    /** The gateway that changed settings are applied to. */
    private final Gateway gateway;

    /** The text of the file when it was last read. */
    private String lastText;

    /**
     * Creates a watcher. It must be started separately.
     *
     * @param file the settings file
     * @param gateway the gateway that uses the settings
     * @throws IOException if the file cannot be read
     */
    SettingsFileWatcher(Path file, Gateway gateway) throws IOException {
        this.file = file;
        this.gateway = gateway;
        lastText = Files.readString(file);
    }

    /** Starts to poll the file on a daemon thread. */
    void start() {
        Thread thread = new Thread(this::watch, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    /** Polls the file until the thread is interrupted. */
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
     * Reads the file and applies its settings to the gateway. Settings that cannot be used are recorded in the audit
     * trail, and the gateway keeps its current ones.
     *
     * @param cause what triggered the reload
     * @param evenIfUnchanged whether to apply the settings although the text of the file is the same
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
