package org.chivecourse.command.bench;

import java.util.List;
import java.util.SplittableRandom;
import org.chivecourse.standin.backend.BackendServerStandIn;
import org.chivecourse.standin.backend.Fault;

/** Enumerates the faults that backend servers have while they are measured. */
public enum Scenario {
    /** No backend server has a fault. */
    CALM {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
        }
    },

    /** About one in seven backend servers straggles; others are selected each second. */
    STRAGGLERS {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
            for (int count = 0; count < Math.max(1, servers.size() / 7); count++) {
                servers.get(random.nextInt(servers.size())).setFault(Fault.STRAGGLE);
            }
        }
    },

    /** Other processes occupy the machine of each backend server at random for a few milliseconds. */
    NOISY {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NOISY));
        }
    },

    /** A random backend server has just started and warms up; another one is selected each second. */
    COLD_STARTS {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
            servers.get(random.nextInt(servers.size())).setFault(Fault.COLD);
        }
    },

    /** One backend server always reports that it has no requests in flight. */
    LIAR {
        @Override
        void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random) {
            servers.forEach(server -> server.setFault(Fault.NONE));
            servers.get(0).setFault(Fault.LIE);
        }
    };

    /**
     * Sets the faults of backend servers; called every second.
     *
     * @param servers the backend servers
     * @param random the source of randomness
     */
    abstract void applyFaults(List<BackendServerStandIn> servers, SplittableRandom random);
}
