package org.chivecourse.state.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * What a gateway tells others of itself.
 *
 * @param name the name of its host
 * @param incarnation the number of its life, higher for a later one
 * @param sequence the number of the digest in its life
 * @param revision the revision of the configuration in force, zero for none
 * @param configurationDigest the digest of the configuration in force, empty for none
 * @param stopping whether it is stopping
 * @param replyRequested whether it asks for a digest in return
 * @param leavingServers the addresses of backend servers that it found to be leaving itself
 * @param blockedRequests the remaining seconds of its convictions by fingerprint
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

    /**
     * Creates a digest whose collections are copied.
     */
    public PeerDigest {
        leavingServers = List.copyOf(leavingServers);
        blockedRequests = Map.copyOf(blockedRequests);
    }

    /**
     * Returns whether this digest announces a configuration that goes before another one.
     *
     * @param otherRevision the revision of the other configuration
     * @param otherDigest the digest of the other configuration
     * @return {@code true} if a host that has the other one wants this one
     */
    public boolean announcesNewerThan(long otherRevision, String otherDigest) {
        if (revision != otherRevision) {
            return revision > otherRevision;
        }
        return configurationDigest.compareTo(otherDigest) > 0;
    }
}
