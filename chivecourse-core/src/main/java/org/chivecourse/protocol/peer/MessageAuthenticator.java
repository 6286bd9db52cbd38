package org.chivecourse.protocol.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Adds authentication codes to messages and verifies them, so that only gateways that know a shared key are trusted.
 */
public interface MessageAuthenticator {

    /**
     * Returns a message with its authentication code.
     *
     * @param message the message
     * @return the signed message
     */
    byte[] sign(byte[] message);

    /**
     * Verifies a signed message and removes its authentication code.
     *
     * @param signed the signed message
     * @return the message without its code
     * @throws PeerMessageException if the code is missing or wrong
     */
    byte[] verify(byte[] signed) throws PeerMessageException;

    /** Leaves messages unsigned and accepts every message, for fleets without a shared key. */
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

    /** Prepends an HMAC-SHA-256 code, truncated to 16 bytes, to each message. */
    final class HmacSha256 implements MessageAuthenticator {

        /** The name of the algorithm in the Java cryptography architecture. */
        private static final String ALGORITHM = "HmacSHA256";

        /**
         * The length of the code in a message. Codes are truncated to this many bytes of the 32 that the algorithm
         * returns.
         */
        private static final int AUTHENTICATION_CODE_BYTES = 16;

        /** The key that all gateways of the fleet share. */
        private final SecretKeySpec key;

        /**
         * Creates an authenticator.
         *
         * @param key the key that all gateways of the fleet share, of any length above zero
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
         * Computes the authentication code of a message.
         *
         * @param message the message
         * @return all 32 bytes of the code, of which only the first 16 are sent
         */
        private byte[] authenticationCode(byte[] message) {
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(key);
                return mac.doFinal(message);
            } catch (GeneralSecurityException exception) {
                throw new IllegalStateException("the Java runtime does not provide " + ALGORITHM, exception);
            }
        }
    }
}
