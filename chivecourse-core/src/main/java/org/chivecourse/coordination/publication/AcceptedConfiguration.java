package org.chivecourse.coordination.publication;

import java.util.Arrays;
import org.chivecourse.configuration.format.PrintedConfiguration;
import org.chivecourse.state.publication.PublishedItem;

/**
 * The highest configuration that was ever published, by its own revision, and whether the publisher still has it.
 *
 * <p>A publisher that was restored from a copy may have lost it. Until it is published again, gateways pass it on to
 * those that have started since.
 */
final class AcceptedConfiguration {

    /** The item with the configuration, {@code null} before the first one. */
    private PublishedItem item;

    /** The configuration, {@code null} before the first one. */
    private PrintedConfiguration printed;

    /** Whether the publisher has the configuration. */
    private boolean published;

    /**
     * Records that the publisher has a configuration.
     *
     * @param publishedItem the item
     * @param configuration the configuration of the item
     */
    void recordPublished(PublishedItem publishedItem, PrintedConfiguration configuration) {
        published = replaces(configuration);
        if (published) {
            item = publishedItem;
            printed = configuration;
        }
    }

    /**
     * Records that the publisher has no configuration under a key any more.
     *
     * @param key the key
     */
    void recordLoss(String key) {
        published &= item != null && !item.key().equals(key);
    }

    /**
     * Records a configuration that another gateway passed on.
     *
     * @param retainedItem the item
     * @param configuration the configuration of the item
     */
    void recordRetained(PublishedItem retainedItem, PrintedConfiguration configuration) {
        if (printed == null || configuration.compareTo(printed) > 0) {
            item = retainedItem;
            printed = configuration;
            published = false;
        }
    }

    /** Returns whether a configuration is not lower than the accepted one. */
    private boolean replaces(PrintedConfiguration configuration) {
        return printed == null || configuration.compareTo(printed) >= 0;
    }

    /**
     * Returns whether an item has the value of the accepted configuration.
     *
     * @param other the item
     * @return {@code true} if it does not have to be decoded
     */
    boolean hasValueOf(PublishedItem other) {
        return item != null && Arrays.equals(item.value(), other.value());
    }

    /**
     * Returns the item with the accepted configuration if the publisher no longer has it.
     *
     * @return the item, {@code null} if the publisher has the configuration or there is none
     */
    PublishedItem retained() {
        return published ? null : item;
    }

    /** Returns the revision of the accepted configuration, zero if there is none. */
    long revision() {
        return printed == null ? 0 : printed.configuration().revision();
    }
}
