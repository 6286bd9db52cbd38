package org.chivecourse.protocol.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.chivecourse.protocol.peer.generated.ItemDifferenceMessage;
import org.chivecourse.protocol.peer.generated.PublicationReply;
import org.chivecourse.protocol.peer.generated.PublishedItemMessage;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.publication.ItemDifference;
import org.chivecourse.state.publication.PublicationRevision;
import org.chivecourse.state.publication.PublishedItem;

/**
 * Encodes and decodes published items, which digests carry and gateways pull from each other.
 *
 * <p>A message has the epoch of its revisions once, and the numbers within the epoch otherwise.
 */
public final class PublicationCodec {

    /** This class has only static methods. */
    private PublicationCodec() {}

    /**
     * Encodes published items and removals.
     *
     * @param changes the changes
     * @return the message
     */
    public static PublicationReply encode(FleetDigest.Changes changes) {
        PublicationReply.Builder message = PublicationReply.newBuilder()
                .setAfter(PublicationRevision.number(changes.after()))
                .setRevision(PublicationRevision.number(changes.revision()))
                .setEpoch(PublicationRevision.epoch(changes.revision()));
        changes.items().forEach(item -> message.addItems(encode(item)));
        for (ItemDifference difference : changes.differences()) {
            message.addDifferences(ItemDifferenceMessage.newBuilder()
                    .setKey(difference.key())
                    .setRevision(PublicationRevision.number(difference.revision()))
                    .setBaseRevision(PublicationRevision.number(difference.baseRevision()))
                    .setDifference(ByteString.copyFrom(difference.difference()))
                    .setChecksum(difference.checksum()));
        }
        if (changes.retainedConfiguration() != null) {
            message.setRetainedConfiguration(encode(changes.retainedConfiguration()));
        }
        return message.build();
    }

    /** Encodes an item or a removal. */
    private static PublishedItemMessage encode(PublishedItem item) {
        PublishedItemMessage.Builder message = PublishedItemMessage.newBuilder()
                .setKey(item.key())
                .setRevision(PublicationRevision.number(item.revision()))
                .setRemoved(item.removed());
        if (!item.removed()) {
            message.setValue(ByteString.copyFrom(item.value()));
        }
        return message.build();
    }

    /**
     * Decodes published items and removals.
     *
     * @param message the message
     * @return the changes
     * @throws PeerMessageException if the epoch or the range of revisions is invalid or a key is empty or too long
     */
    public static FleetDigest.Changes decode(PublicationReply message) throws PeerMessageException {
        long epoch = message.getEpoch();
        if (epoch < 0 || message.getAfter() < 0 || message.getRevision() < message.getAfter()) {
            throw new PeerMessageException("invalid range of published items: after revision " + message.getAfter()
                    + " up to revision " + message.getRevision() + " of epoch " + epoch);
        }
        List<PublishedItem> items = new ArrayList<>();
        for (PublishedItemMessage item : message.getItemsList()) {
            items.add(decode(item, epoch));
        }
        List<ItemDifference> differences = new ArrayList<>();
        for (ItemDifferenceMessage difference : message.getDifferencesList()) {
            differences.add(new ItemDifference(
                    FleetCodec.checkText(difference.getKey()),
                    PublicationRevision.of(epoch, difference.getRevision()),
                    PublicationRevision.of(epoch, difference.getBaseRevision()),
                    difference.getDifference().toByteArray(),
                    difference.getChecksum()));
        }
        return new FleetDigest.Changes(
                message.getAfter() == 0 ? 0 : PublicationRevision.of(epoch, message.getAfter()),
                PublicationRevision.of(epoch, message.getRevision()),
                items,
                differences,
                message.hasRetainedConfiguration() ? decode(message.getRetainedConfiguration(), epoch) : null);
    }

    /**
     * Decodes an item or a removal.
     *
     * @param message the message
     * @param epoch the epoch of its revision
     * @return the item
     * @throws PeerMessageException if the key is empty or too long
     */
    private static PublishedItem decode(PublishedItemMessage message, long epoch) throws PeerMessageException {
        byte[] value = message.getRemoved() ? null : message.getValue().toByteArray();
        return new PublishedItem(
                FleetCodec.checkText(message.getKey()), PublicationRevision.of(epoch, message.getRevision()), value);
    }

    /**
     * Decodes published items and removals from bytes.
     *
     * @param message the encoded message
     * @return the changes
     * @throws PeerMessageException if the message is malformed or invalid
     */
    public static FleetDigest.Changes decode(byte[] message) throws PeerMessageException {
        try {
            return decode(PublicationReply.parseFrom(message));
        } catch (InvalidProtocolBufferException exception) {
            throw new PeerMessageException("published items are malformed: " + exception.getMessage());
        }
    }
}
