package org.chivecourse.coordination.reservation;

import java.util.List;
import org.chivecourse.coordination.call.ServiceState;
import org.chivecourse.state.call.CallState;
import org.chivecourse.state.server.ServerState;

/** Chooses a backend server where no other gateway sends requests unless this one has placed them. */
public interface ServerChooser {

    /**
     * Chooses one of the backend servers that have room.
     *
     * @param members the backend servers to choose among
     * @param tried the identities of the backend servers that the call has been tried on, which come last
     * @return the backend server, {@code null} if none may take a request now
     */
    ServerState choose(ServiceState service, List<ServerState> members, CallState call, List<String> tried, long now);
}
