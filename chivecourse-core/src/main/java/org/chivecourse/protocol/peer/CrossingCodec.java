package org.chivecourse.protocol.peer;

import java.util.ArrayList;
import java.util.List;
import org.chivecourse.protocol.peer.generated.FleetDigestMessage;
import org.chivecourse.protocol.peer.generated.RoomMessage;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Room;

/** Converts what digests say of the room of data centres, and of the services whose loads are needed elsewhere. */
final class CrossingCodec {

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    /** The maximum age of a statement, in milliseconds. */
    private static final int MAXIMUM_AGE_MILLISECONDS = 60_000;

    /** The maximum number of rooms, and of needed services, in a digest. */
    private static final int MAXIMUM_SERVICES = 64;

    /** Prevents instantiation. */
    private CrossingCodec() {}

    /**
     * Adds the rooms and needed services of a digest to its message.
     *
     * @param now the current time in nanoseconds, to which ages are relative
     */
    static void encode(FleetDigest digest, FleetDigestMessage.Builder message, long now) {
        for (Room room : digest.rooms()) {
            message.addRooms(RoomMessage.newBuilder()
                    .setService(room.service())
                    .setSlots(room.slots())
                    .setInFlight(room.inFlight())
                    .setSpareRequestsPerSecond(room.spareRequestsPerSecond())
                    .setAgeMilliseconds((int) Math.max(0, (now - room.observedAt()) / NANOSECONDS_PER_MILLISECOND)));
        }
        message.addAllWantedServices(digest.wantedServices());
    }

    /**
     * Decodes the rooms of a digest.
     *
     * @param now the current time in nanoseconds, to which ages are relative
     * @return the rooms, with times on the clock of this host
     * @throws PeerMessageException if there are too many, or a value is out of range
     */
    static List<Room> decodeRooms(FleetDigestMessage message, long now) throws PeerMessageException {
        checkCount(message.getRoomsCount());
        List<Room> rooms = new ArrayList<>(message.getRoomsCount());
        for (RoomMessage room : message.getRoomsList()) {
            int age = room.getAgeMilliseconds();
            boolean valid = age >= 0
                    && age <= MAXIMUM_AGE_MILLISECONDS
                    && room.getSlots() >= 0
                    && room.getInFlight() >= 0
                    && room.getSpareRequestsPerSecond() >= 0;
            if (!valid) {
                throw new PeerMessageException("room of service \"" + room.getService() + "\" has age " + age + " ms, "
                        + room.getSlots() + " slots, " + room.getInFlight() + " in flight");
            }
            rooms.add(new Room(
                    FleetCodec.checkText(room.getService()),
                    room.getSlots(),
                    room.getInFlight(),
                    room.getSpareRequestsPerSecond(),
                    now - age * NANOSECONDS_PER_MILLISECOND));
        }
        return rooms;
    }

    /**
     * Decodes the services whose loads are needed.
     *
     * @return the names
     * @throws PeerMessageException if there are too many, or a name is empty or too long
     */
    static List<String> decodeWantedServices(FleetDigestMessage message) throws PeerMessageException {
        checkCount(message.getWantedServicesCount());
        List<String> services = new ArrayList<>(message.getWantedServicesCount());
        for (String service : message.getWantedServicesList()) {
            services.add(FleetCodec.checkText(service));
        }
        return services;
    }

    /** Checks the number of services that a digest names. */
    private static void checkCount(int count) throws PeerMessageException {
        if (count > MAXIMUM_SERVICES) {
            throw new PeerMessageException("digest names " + count + " services");
        }
    }
}
