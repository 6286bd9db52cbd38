package org.chivecourse.protocol.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Proves that a message comes from a gateway that knows the shared key. */
public interface Seal {

    /**
     * Returns a message with its proof.
     *
     * @param message the message
     * @return the sealed message
     */
    byte[] close(byte[] message);

    /**
     * Returns the message of a sealed one.
     *
     * @param sealed the sealed message
     * @return the message
     * @throws PeerMessageException if the proof is missing or wrong
     */
    byte[] open(byte[] sealed) throws PeerMessageException;

    /** Proves nothing. */
    enum Disabled implements Seal {
        /** The only instance. */
        INSTANCE;

        @Override
        public byte[] close(byte[] message) {
            return message;
        }

        @Override
        public byte[] open(byte[] sealed) {
            return sealed;
        }
    }

    /** Puts an authentication code of HMAC-SHA-256 before each message. */
    final class ForSharedKey implements Seal {

        /** The name of the algorithm. */
        private static final String ALGORITHM = "HmacSHA256";

        /** The number of bytes of a code. */
        private static final int CODE_BYTES = 16;

        /** The shared key. */
        private final SecretKeySpec key;

        /**
         * Creates a seal.
         *
         * @param key the shared key
         */
        public ForSharedKey(byte[] key) {
            this.key = new SecretKeySpec(key, ALGORITHM);
        }

        @Override
        public byte[] close(byte[] message) {
            byte[] sealed = Arrays.copyOf(code(message), CODE_BYTES + message.length);
            System.arraycopy(message, 0, sealed, CODE_BYTES, message.length);
            return sealed;
        }

        @Override
        public byte[] open(byte[] sealed) throws PeerMessageException {
            if (sealed.length < CODE_BYTES) {
                throw new PeerMessageException("message of " + sealed.length + " bytes has no authentication code");
            }
            byte[] message = Arrays.copyOfRange(sealed, CODE_BYTES, sealed.length);
            byte[] given = Arrays.copyOf(sealed, CODE_BYTES);
            if (!MessageDigest.isEqual(given, Arrays.copyOf(code(message), CODE_BYTES))) {
                throw new PeerMessageException("message has a wrong authentication code");
            }
            return message;
        }

        /**
         * Returns the code of a message.
         *
         * @param message the message
         * @return the code, longer than what is sent
         */
        private byte[] code(byte[] message) {
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(key);
                return mac.doFinal(message);
            } catch (GeneralSecurityException exception) {
                throw new IllegalStateException("the platform lacks " + ALGORITHM, exception);
            }
        }
    }
}
