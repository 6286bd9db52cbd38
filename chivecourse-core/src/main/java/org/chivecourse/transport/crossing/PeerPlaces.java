package org.chivecourse.transport.crossing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chivecourse.state.fleet.Member;

/** The data centres of other gateways, as their digests state them. */
public final class PeerPlaces {

    /** The maximum number of addresses; beyond it all are learned anew. */
    private static final int MAXIMUM_ADDRESSES = 8192;

    /** The data centres by address with port, and by address alone for connections that a gateway opened. */
    private final Map<String, String> dataCentres = new ConcurrentHashMap<>();

    /** Records the data centre of a gateway. */
    public void learn(Member member) {
        if (dataCentres.size() >= MAXIMUM_ADDRESSES) {
            dataCentres.clear();
        }
        dataCentres.put(member.address(), member.dataCentre());
        dataCentres.put(host(member.address()), member.dataCentre());
    }

    /**
     * Returns the data centre of a gateway.
     *
     * @param address the address at which it listens, or from which it has opened a connection, with a port
     * @return the name of the data centre, empty if it is not known
     */
    public String dataCentre(String address) {
        String exact = dataCentres.get(address);
        return exact != null ? exact : dataCentres.getOrDefault(host(address), "");
    }

    /** Returns an address without its port. */
    private static String host(String address) {
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }
}
