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
import org.chivecourse.state.publication.PublishedItem;

/** Encodes and decodes published items, which digests carry and gateways pull from each other. */
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
        PublicationReply.Builder message =
                PublicationReply.newBuilder().setAfter(changes.after()).setRevision(changes.revision());
        for (PublishedItem item : changes.items()) {
            PublishedItemMessage.Builder itemMessage = PublishedItemMessage.newBuilder()
                    .setKey(item.key())
                    .setRevision(item.revision())
                    .setRemoved(item.removed());
            if (!item.removed()) {
                itemMessage.setValue(ByteString.copyFrom(item.value()));
            }
            message.addItems(itemMessage);
        }
        for (ItemDifference difference : changes.differences()) {
            message.addDifferences(ItemDifferenceMessage.newBuilder()
                    .setKey(difference.key())
                    .setRevision(difference.revision())
                    .setBaseRevision(difference.baseRevision())
                    .setDifference(ByteString.copyFrom(difference.difference()))
                    .setChecksum(difference.checksum()));
        }
        return message.build();
    }

    /**
     * Decodes published items and removals.
     *
     * @param message the message
     * @return the changes
     * @throws PeerMessageException if the range of revisions is invalid or a key is empty or too long
     */
    public static FleetDigest.Changes decode(PublicationReply message) throws PeerMessageException {
        if (message.getAfter() < 0 || message.getRevision() < message.getAfter()) {
            throw new PeerMessageException("invalid range of published items: after revision " + message.getAfter()
                    + " up to revision " + message.getRevision());
        }
        List<PublishedItem> items = new ArrayList<>();
        for (PublishedItemMessage item : message.getItemsList()) {
            byte[] value = item.getRemoved() ? null : item.getValue().toByteArray();
            items.add(new PublishedItem(FleetCodec.checkText(item.getKey()), item.getRevision(), value));
        }
        List<ItemDifference> differences = new ArrayList<>();
        for (ItemDifferenceMessage difference : message.getDifferencesList()) {
            differences.add(new ItemDifference(
                    FleetCodec.checkText(difference.getKey()),
                    difference.getRevision(),
                    difference.getBaseRevision(),
                    difference.getDifference().toByteArray(),
                    difference.getChecksum()));
        }
        return new FleetDigest.Changes(message.getAfter(), message.getRevision(), items, differences);
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
