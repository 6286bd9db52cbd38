package org.chivecourse.state.publication;

import java.util.zip.CRC32;

/**
 * A published item whose value is given by how it differs from an earlier value of the same item.
 *
 * @param key the key of the item
 * @param revision the revision at which it was published
 * @param baseRevision the revision of the earlier value
 * @param difference how the value differs; see {@link ValueDifference}
 * @param checksum the CRC-32 of the value
 */
public record ItemDifference(String key, long revision, long baseRevision, byte[] difference, int checksum) {

    /**
     * Returns the checksum of a value.
     *
     * @param value the value
     * @return its CRC-32
     */
    static int checksum(byte[] value) {
        CRC32 checksum = new CRC32();
        checksum.update(value);
        return (int) checksum.getValue();
    }
}
