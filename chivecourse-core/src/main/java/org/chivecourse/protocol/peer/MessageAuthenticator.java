package org.chivecourse.protocol.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Proves that a message comes from a gateway that knows the shared key. */
public interface MessageAuthenticator {

    /**
     * Returns a message with its proof.
     *
     * @param message the message
     * @return the sealed message
     */
    byte[] sign(byte[] message);

    /**
     * Returns the message of a sealed one.
     *
     * @param signed the sealed message
     * @return the message
     * @throws PeerMessageException if the proof is missing or wrong
     */
    byte[] verify(byte[] signed) throws PeerMessageException;

    /** Proves nothing. */
    enum Disabled implements MessageAuthenticator {
        /** The only instance. */
        INSTANCE;

        @Override
        public byte[] sign(byte[] message) {
            return message;
        }

        @Override
        public byte[] verify(byte[] signed) {
            return signed;
        }
    }

    /** Puts an authentication code of HMAC-SHA-256 before each message. */
    final class HmacSha256 implements MessageAuthenticator {

        /** The name of the algorithm. */
        private static final String ALGORITHM = "HmacSHA256";

        /** The number of bytes of a code. */
        private static final int AUTHENTICATION_CODE_BYTES = 16;

        /** The shared key. */
        private final SecretKeySpec key;

        /**
         * Creates a seal.
         *
         * @param key the shared key
         */
        public HmacSha256(byte[] key) {
            this.key = new SecretKeySpec(key, ALGORITHM);
        }

        @Override
        public byte[] sign(byte[] message) {
            byte[] signed = Arrays.copyOf(authenticationCode(message), AUTHENTICATION_CODE_BYTES + message.length);
            System.arraycopy(message, 0, signed, AUTHENTICATION_CODE_BYTES, message.length);
            return signed;
        }

        @Override
        public byte[] verify(byte[] signed) throws PeerMessageException {
            if (signed.length < AUTHENTICATION_CODE_BYTES) {
                throw new PeerMessageException("message of " + signed.length + " bytes has no authentication code");
            }
            byte[] message = Arrays.copyOfRange(signed, AUTHENTICATION_CODE_BYTES, signed.length);
            byte[] receivedCode = Arrays.copyOf(signed, AUTHENTICATION_CODE_BYTES);
            if (!MessageDigest.isEqual(
                    receivedCode, Arrays.copyOf(authenticationCode(message), AUTHENTICATION_CODE_BYTES))) {
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
        private byte[] authenticationCode(byte[] message) {
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
