package org.chivecourse.state.fleet;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import org.chivecourse.state.publication.ItemDifference;
import org.chivecourse.state.publication.PublishedItem;

/**
 * The digest that a gateway sends to other gateways of its fleet: its own state, observations of backend servers, and
 * published items.
 *
 * @param sender the sender
 * @param incarnation the incarnation of the sender
 * @param sequence the number of the digest within its incarnation
 * @param stopping whether the sender is stopping
 * @param replyRequested whether the sender requests a digest in return
 * @param publisherStatus the state of the sender's connection to the publisher
 * @param members other gateways that the sender knows
 * @param observations observations of backend servers, by the sender or by gateways whose observations it relays
 * @param crashes the requests that were running at backend servers when these failed
 * @param answeredRequests the suspected requests that backend servers answered
 * @param blockedRequests the remaining seconds for which requests are blocked, by fingerprint
 * @param changes published items, {@code null} if the digest contains none
 * @param fleetSize the number of gateways of the fleet as recorded by the sender, including itself
 * @param dataCentreSize the number of live gateways in the sender's data centre, including itself
 * @param limitReports what the sender knows of request limits of backend servers
 * @param warmUps what the sender knows of the warm-ups of backend servers
 * @param forwardingAddress the address at which the sender takes calls of other gateways, empty if it takes none now
 * @param rooms the room of the sender's data centre, in digests to other ones
 * @param wantedServices the services of which the sender's data centre needs the loads of backend servers elsewhere
 * @param allocatesSlots whether the sender grants slots of backend servers to other gateways
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
        List<AnsweredRequest> answeredRequests,
        @JsonProperty("convictions") Map<Long, Integer> blockedRequests,
        Changes changes,
        int fleetSize,
        int dataCentreSize,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<LimitReport> limitReports,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<WarmUpReport> warmUps,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) String forwardingAddress,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Room> rooms,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<String> wantedServices,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean allocatesSlots) {

    /** Creates a digest with copies of the collections. */
    public FleetDigest {
        members = List.copyOf(members);
        observations = List.copyOf(observations);
        crashes = List.copyOf(crashes);
        answeredRequests = answeredRequests == null ? List.of() : List.copyOf(answeredRequests);
        blockedRequests = Map.copyOf(blockedRequests);
        forwardingAddress = forwardingAddress == null ? "" : forwardingAddress;
        limitReports = limitReports == null ? List.of() : List.copyOf(limitReports);
        warmUps = warmUps == null ? List.of() : List.copyOf(warmUps);
        rooms = rooms == null ? List.of() : List.copyOf(rooms);
        wantedServices = wantedServices == null ? List.of() : List.copyOf(wantedServices);
    }

    /** Creates a digest that says nothing of slots and of the room and the needs of data centres. */
    public FleetDigest(
            Member sender,
            long incarnation,
            long sequence,
            boolean stopping,
            boolean replyRequested,
            PublisherStatus publisherStatus,
            List<Member> members,
            List<Observation> observations,
            List<Crash> crashes,
            List<AnsweredRequest> answeredRequests,
            Map<Long, Integer> blockedRequests,
            Changes changes,
            int fleetSize,
            int dataCentreSize,
            List<LimitReport> limitReports,
            List<WarmUpReport> warmUps,
            String forwardingAddress) {
        this(
                sender,
                incarnation,
                sequence,
                stopping,
                replyRequested,
                publisherStatus,
                members,
                observations,
                crashes,
                answeredRequests,
                blockedRequests,
                changes,
                fleetSize,
                dataCentreSize,
                limitReports,
                warmUps,
                forwardingAddress,
                List.of(),
                List.of(),
                false);
    }

    /**
     * Returns the same digest with what it says of data centres.
     *
     * @param ownRooms the room of the sender's data centre
     * @param wanted the services of which the sender's data centre needs the loads of backend servers elsewhere
     * @return the digest
     */
    public FleetDigest withCrossings(List<Room> ownRooms, List<String> wanted) {
        return new FleetDigest(
                sender,
                incarnation,
                sequence,
                stopping,
                replyRequested,
                publisherStatus,
                members,
                observations,
                crashes,
                answeredRequests,
                blockedRequests,
                changes,
                fleetSize,
                dataCentreSize,
                limitReports,
                warmUps,
                forwardingAddress,
                ownRooms,
                wanted,
                allocatesSlots);
    }

    /**
     * The state of a gateway's connection to the publisher.
     *
     * @param revision the revision up to which the gateway has the published items
     * @param reached whether the publisher answers the gateway
     * @param watching whether the gateway watches the publisher for changes
     * @param lastAnswerAgeMilliseconds the time since the publisher last answered the gateway or, where only bridges
     *     receive digests from other data centres, any gateway that it knows of, in milliseconds, negative if no answer
     *     is known
     * @param retainedConfiguration the revision of the accepted configuration that the gateway has and the publisher
     *     lost, zero if the publisher has it
     */
    public record PublisherStatus(
            long revision,
            boolean reached,
            boolean watching,
            @JsonProperty("answeredMilliseconds") long lastAnswerAgeMilliseconds,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long retainedConfiguration) {

        /**
         * Creates the state of a gateway whose configuration the publisher has.
         *
         * @param revision the revision up to which the gateway has the published items
         * @param reached whether the publisher answers the gateway
         * @param watching whether the gateway watches the publisher for changes
         * @param lastAnswerAgeMilliseconds the time since the publisher last answered, in milliseconds, negative if no
         *     answer is known
         */
        public PublisherStatus(long revision, boolean reached, boolean watching, long lastAnswerAgeMilliseconds) {
            this(revision, reached, watching, lastAnswerAgeMilliseconds, 0);
        }
    }

    /**
     * Changes of published items.
     *
     * @param after the revision after which the changes are complete, zero if they are all published items
     * @param revision the revision up to which the changes are complete
     * @param items the changed items and removals
     * @param differences the changed items whose earlier value the recipient knows
     * @param retainedConfiguration the accepted configuration, if the publisher lost it, otherwise {@code null}
     */
    public record Changes(
            long after,
            long revision,
            List<PublishedItem> items,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<ItemDifference> differences,
            @JsonInclude(JsonInclude.Include.NON_NULL) PublishedItem retainedConfiguration) {

        /** The maximum encoded size of the revisions, the checksum and the lengths of an entry, in bytes. */
        private static final int ENTRY_OVERHEAD_BYTES = 40;

        /** Creates changes with copies of the lists. */
        public Changes {
            items = List.copyOf(items);
            differences = differences == null ? List.of() : List.copyOf(differences);
        }

        /**
         * Creates changes without differences.
         *
         * @param after the revision after which the changes are complete, zero if they are all published items
         * @param revision the revision up to which the changes are complete
         * @param items the changed items and removals
         */
        public Changes(long after, long revision, List<PublishedItem> items) {
            this(after, revision, items, List.of(), null);
        }

        /**
         * Creates changes of which the publisher has all.
         *
         * @param after the revision after which the changes are complete, zero if they are all published items
         * @param revision the revision up to which the changes are complete
         * @param items the changed items and removals
         * @param differences the changed items whose earlier value the recipient knows
         */
        public Changes(long after, long revision, List<PublishedItem> items, List<ItemDifference> differences) {
            this(after, revision, items, differences, null);
        }

        /**
         * Returns the same changes with the accepted configuration.
         *
         * @param item the item with the configuration, {@code null} if the publisher has it
         * @return the changes
         */
        public Changes withRetainedConfiguration(PublishedItem item) {
            return new Changes(after, revision, items, differences, item);
        }

        /** Returns an upper bound of the encoded size, in bytes. */
        public int bytes() {
            int bytes = (items.size() + differences.size()) * ENTRY_OVERHEAD_BYTES;
            for (PublishedItem item : items) {
                bytes += item.key().length() + (item.removed() ? 0 : item.value().length);
            }
            for (ItemDifference difference : differences) {
                bytes += difference.key().length() + difference.difference().length;
            }
            return bytes;
        }
    }
}
