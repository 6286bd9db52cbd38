package org.chivecourse.state.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * The digest that a gateway sends to the other gateways of the platform's host list.
 *
 * @param name the name of the sender's host
 * @param incarnation the incarnation of the sender, higher after each restart
 * @param sequence the number of the digest within its incarnation
 * @param revision the revision of the configuration in force, zero if there is none
 * @param configurationDigest the hash of the configuration in force, empty if there is none
 * @param stopping whether the sender is stopping
 * @param replyRequested whether the sender requests a digest in return
 * @param leavingServers the addresses of backend servers that the sender itself observed to be leaving
 * @param blockedRequests the remaining seconds for which requests are blocked, by fingerprint
 */
public record PeerDigest(
        String name,
        long incarnation,
        long sequence,
        long revision,
        String configurationDigest,
        boolean stopping,
        @JsonProperty("asks") boolean replyRequested,
        List<String> leavingServers,
        @JsonProperty("convictions") Map<Long, Integer> blockedRequests) {

    /** Creates a digest with copies of the collections. */
    public PeerDigest {
        leavingServers = List.copyOf(leavingServers);
        blockedRequests = Map.copyOf(blockedRequests);
    }

    /**
     * Returns whether the sender's configuration supersedes another one, by revision and then by digest.
     *
     * @param otherRevision the revision of the other configuration
     * @param otherDigest the digest of the other configuration
     * @return {@code true} if a host with the other configuration should fetch the sender's one
     */
    public boolean announcesNewerThan(long otherRevision, String otherDigest) {
        if (revision != otherRevision) {
            return revision > otherRevision;
        }
        return configurationDigest.compareTo(otherDigest) > 0;
    }
}
