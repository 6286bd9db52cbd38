package org.chivecourse.command.bench;

import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.standin.backend.Fault;

/** What backend servers go through while they are measured. */
public enum Scenario {
    /** All backend servers behave well. */
    CALM {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
        }
    },

    /** One in seven backend servers straggles, others after a while. */
    STRAGGLERS {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
            for (int count = 0; count < Math.max(1, servers.size() / 7); count++) {
                servers.get(random.nextInt(servers.size())).setFault(Fault.STRAGGLE);
            }
        }
    },

    /** Neighbours take each backend server's machine for a few milliseconds every now and then. */
    NOISY {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NOISY));
        }
    },

    /** One backend server after the other starts cold. */
    COLD_STARTS {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
            servers.get(random.nextInt(servers.size())).setFault(Fault.COLD);
        }
    },

    /** One backend server states no load and straggles. */
    LIAR {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
            servers.get(0).setFault(Fault.LIE);
        }
    };

    /**
     * Disturbs backend servers; called every second.
     *
     * @param servers the backend servers
     * @param random the source of randomness
     */
    abstract void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random);
}
