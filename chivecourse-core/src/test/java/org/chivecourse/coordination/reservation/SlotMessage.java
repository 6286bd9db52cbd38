package org.chivecourse.coordination.reservation;

import java.util.Optional;
import org.chivecourse.coordination.decision.Decision;
import org.chivecourse.protocol.peer.PeerCodec;

/**
 * A message about slots as simulations deliver it.
 *
 * @param address the address of the recipient
 * @param datagram the encoded message
 */
public record SlotMessage(String address, byte[] datagram) {

    /** Returns the message that a decision sends, nothing for decisions about something else. */
    public static Optional<SlotMessage> of(Decision decision, PeerCodec codec) {
        if (decision instanceof Decision.RequestSlot request) {
            return Optional.of(new SlotMessage(request.address(), codec.encode(request.request())));
        }
        if (decision instanceof Decision.ReplySlot reply) {
            return Optional.of(new SlotMessage(reply.address(), codec.encode(reply.reply())));
        }
        if (decision instanceof Decision.ReleaseSlot release) {
            return Optional.of(new SlotMessage(release.address(), codec.encode(release.release())));
        }
        return Optional.empty();
    }
}
