package org.chivecourse.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Predicate;
import org.chivecourse.coordination.event.Arrival;
import org.chivecourse.protocol.http.BadRequestException;
import org.chivecourse.protocol.http.HeaderNames;

/** Who sends requests to a listener. */
public interface RequestSource {

    /**
     * Returns whether requests from an address are accepted.
     *
     * @param address the IP address
     * @return {@code false} if they are refused
     */
    boolean accepts(String address);

    /**
     * Adds to an arrival what the source states in header fields of its own.
     *
     * @param arrival the arrival as a caller's request
     * @param headers the header fields of the request
     * @return the arrival
     * @throws BadRequestException if a header field is missing or malformed
     */
    Arrival complete(Arrival arrival, HttpHeaders headers) throws BadRequestException;

    /** Callers, whose requests are what they are. */
    enum Callers implements RequestSource {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean accepts(String address) {
            return true;
        }

        @Override
        public Arrival complete(Arrival arrival, HttpHeaders headers) {
            return arrival;
        }
    }

    /**
     * Other gateways, which forward requests of their callers.
     *
     * @param member returns whether an IP address is that of a gateway of the fleet
     */
    record Gateways(Predicate<String> member) implements RequestSource {

        /** The maximum number of attempts that another gateway may leave to this one. */
        private static final int MAXIMUM_ATTEMPTS = 100;

        /** The base in which fingerprints are written. */
        private static final int HEXADECIMAL = 16;

        @Override
        public boolean accepts(String address) {
            return member.test(address);
        }

        @Override
        public Arrival complete(Arrival arrival, HttpHeaders headers) throws BadRequestException {
            try {
                int attempts = Integer.parseInt(headers.get(HeaderNames.FORWARDED_ATTEMPTS, ""));
                long fingerprint =
                        Long.parseUnsignedLong(headers.get(HeaderNames.FORWARDED_FINGERPRINT, ""), HEXADECIMAL);
                if (attempts >= 1 && attempts <= MAXIMUM_ATTEMPTS) {
                    return arrival.forwarded(attempts, fingerprint);
                }
            } catch (NumberFormatException exception) {
                throw new BadRequestException("a forwarded request states no attempts or no fingerprint");
            }
            throw new BadRequestException("a forwarded request states an invalid number of attempts");
        }
    }
}
