package org.chivecourse.coordination.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.chivecourse.configuration.format.ConfigurationReader;
import org.chivecourse.coordination.publication.Publication;
import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.state.publication.PublishedItem;
import org.chivecourse.state.server.RegisteredServer;

/** Decodes the items of tests: a printed configuration, or a backend server as a line of fields separated by spaces. */
final class TextDecoder implements PublicationDecoder {

    static final String CONFIGURATION = "configuration";

    private static final String EVACUATION_PREFIX = "evacuate ";

    private static final long FIRST_INCARNATION = 1;

    private static final int SEQUENCE_FIELD = 6;

    static PublishedItem server(String identity, long revision, String state) {
        return server(identity, revision, state, "a");
    }

    static PublishedItem server(String identity, long revision, String state, String dataCentre) {
        return server(identity, revision, state, dataCentre, FIRST_INCARNATION);
    }

    /** Returns the announcement of a process of a backend server. */
    static PublishedItem server(String identity, long revision, String state, String dataCentre, long incarnation) {
        String address = "10.0.0." + identity.substring(1) + ":80";
        String text = String.join(" ", identity, "jobs", address, dataCentre, state, Long.toString(incarnation));
        return new PublishedItem("server " + identity, revision, text.getBytes(StandardCharsets.UTF_8));
    }

    static PublishedItem removal(String identity) {
        return PublishedItem.removal("server " + identity, 0);
    }

    /** Returns an announcement with its own sequence number, which others take from their revision. */
    static PublishedItem numberedServer(String identity, String state, long sequence) {
        PublishedItem item = server(identity, 0, state);
        String text = new String(item.value(), StandardCharsets.UTF_8) + " " + sequence;
        return new PublishedItem(item.key(), 0, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the request to evacuate a data centre. */
    static PublishedItem evacuation(String dataCentre) {
        return new PublishedItem(EVACUATION_PREFIX + dataCentre, 0, new byte[0]);
    }

    /** Returns the end of the request to evacuate a data centre. */
    static PublishedItem evacuationEnd(String dataCentre) {
        return PublishedItem.removal(EVACUATION_PREFIX + dataCentre, 0);
    }

    @Override
    public Optional<String> evacuatedDataCentre(String key) {
        return key.startsWith(EVACUATION_PREFIX)
                ? Optional.of(key.substring(EVACUATION_PREFIX.length()))
                : Optional.empty();
    }

    @Override
    public Publication decode(PublishedItem item) {
        if (evacuatedDataCentre(item.key()).isPresent()) {
            return Publication.Unrelated.INSTANCE;
        }
        String text = new String(item.value(), StandardCharsets.UTF_8);
        try {
            if (item.key().equals(CONFIGURATION)) {
                return new Publication.PublishedConfiguration(new ConfigurationReader().read("test", text));
            }
            String[] fields = text.split(" ");
            return new Publication.ServerAnnouncement(new RegisteredServer(
                    fields[0],
                    Long.parseLong(fields[5]),
                    fields.length > SEQUENCE_FIELD ? Long.parseLong(fields[SEQUENCE_FIELD]) : item.revision(),
                    fields[1],
                    fields[2],
                    fields[3],
                    "v1",
                    4,
                    fields[4].equals("leaving"),
                    0));
        } catch (Exception exception) {
            return new Publication.Unreadable(exception.toString());
        }
    }
}
