package org.chivecourse.state.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import org.chivecourse.state.publication.PublishedItem;

/**
 * What a gateway tells others of itself and of what it saw.
 *
 * @param sender the gateway
 * @param incarnation the number of its life
 * @param sequence the number of the digest within its life
 * @param stopping whether it is stopping
 * @param replyRequested whether it asks for a digest in return
 * @param publisherStatus how it stands with the publisher
 * @param members other gateways that it knows
 * @param observations what it saw of backend servers
 * @param crashes the requests whose runs coincided with failures of backend servers
 * @param blockedRequests the fingerprints of requests that are refused, with the seconds for which they are
 * @param changes published items, {@code null} if it tells none
 * @param fleetSize the number of gateways that it knows of, itself included
 * @param dataCentreSize the number of live gateways of its data centre, itself included
 */
public record FleetDigest(
        Member sender,
        long incarnation,
        long sequence,
        boolean stopping,
        @JsonProperty("asks") boolean replyRequested,
        @JsonProperty("standing") PublisherStatus publisherStatus,
        List<Member> members,
        @JsonProperty("sightings") List<Observation> observations,
        List<Crash> crashes,
        @JsonProperty("convictions") Map<Long, Integer> blockedRequests,
        Changes changes,
        int fleetSize,
        int dataCentreSize) {

    /**
     * Creates a digest whose lists are copied.
     */
    public FleetDigest {
        members = List.copyOf(members);
        observations = List.copyOf(observations);
        crashes = List.copyOf(crashes);
        blockedRequests = Map.copyOf(blockedRequests);
    }

    /**
     * How a gateway stands with the publisher.
     *
     * @param revision the revision up to which it knows the published items
     * @param reached whether the publisher answers it
     * @param watching whether it watches the publisher
     * @param lastAnswerAgeMilliseconds the time since the publisher last answered it, or another one for which it passes
     *     this on, negative if it never has
     */
    public record PublisherStatus(
            long revision,
            boolean reached,
            boolean watching,
            @JsonProperty("answeredMilliseconds") long lastAnswerAgeMilliseconds) {}

    /**
     * Published items.
     *
     * @param after the revision after which the items follow, zero if they are all that there are
     * @param revision the revision up to which they are complete
     * @param items the items and removals
     */
    public record Changes(long after, long revision, List<PublishedItem> items) {

        /**
         * Creates changes whose items are copied.
         */
        public Changes {
            items = List.copyOf(items);
        }
    }
}
