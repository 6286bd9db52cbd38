package org.chivecourse.coordination.choice;

import java.util.random.RandomGenerator;
import org.chivecourse.state.server.ServerState;

/** The policy by which a backend server is chosen among candidates. The constants are values of the setting for it. */
public enum ChoicePolicy {
    /** Chooses each candidate with the same probability. */
    RANDOM {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            return candidates.get(random.nextInt(candidates.size()));
        }
    },

    /** Chooses the candidates in turn. */
    ROUND_ROBIN {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            return candidates.get((int) Math.floorMod(turn, (long) candidates.size()));
        }
    },

    /** Chooses the candidate with the fewest requests of this host in flight, at random among equals. */
    LEAST_IN_FLIGHT {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            int start = random.nextInt(candidates.size());
            ServerState best = candidates.get(start);
            for (int offset = 1; offset < candidates.size(); offset++) {
                ServerState other = candidates.get((start + offset) % candidates.size());
                if (other.ownInFlight() < best.ownInFlight()) {
                    best = other;
                }
            }
            return best;
        }
    },

    /** Draws two candidates at random and chooses the one with fewer requests of this host in flight. */
    POWER_OF_TWO {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            ServerState first = candidates.get(random.nextInt(candidates.size()));
            ServerState second = candidates.get(random.nextInt(candidates.size()));
            return second.ownInFlight() < first.ownInFlight() ? second : first;
        }
    },

    /** Chooses the candidate with the lowest estimated response time. */
    LEAST_ESTIMATE {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            int start = random.nextInt(candidates.size());
            int best = start;
            double lowest = candidates.responseNanoseconds(start);
            for (int offset = 1; offset < candidates.size(); offset++) {
                int index = (start + offset) % candidates.size();
                double estimate = candidates.responseNanoseconds(index);
                if (estimate < lowest) {
                    lowest = estimate;
                    best = index;
                }
            }
            return candidates.get(best);
        }

        @Override
        public boolean admits(ServerState server, Candidates candidates) {
            return server.ownInFlight() == 0 || candidates.inFlight(server) < server.concurrencyLimit();
        }

        @Override
        public int maximumSampleSize() {
            return MAXIMUM_RESPONSE_SAMPLE_SERVERS;
        }
    },

    /**
     * Chooses the candidate that is estimated to answer first, from its reported load and the slowness of its machine.
     * Random jitter on the estimates prevents hosts with the same information from all choosing the same backend
     * server.
     */
    EARLIEST_FINISH {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            int best = 0;
            double lowest = Double.MAX_VALUE;
            for (int index = 0; index < candidates.size(); index++) {
                double estimate =
                        candidates.finishNanoseconds(index) * (1 + MAXIMUM_ESTIMATE_JITTER_SHARE * random.nextDouble());
                if (estimate < lowest) {
                    lowest = estimate;
                    best = index;
                }
            }
            return candidates.get(best);
        }

        @Override
        public boolean admits(ServerState server, Candidates candidates) {
            double needed = candidates.inFlightWithUnreported(server) + candidates.roomToLeave();
            return needed < FinishEstimate.efficientInFlightLimit(server);
        }

        @Override
        public double inFlight(ServerState server, Candidates candidates) {
            return candidates.inFlightWithUnreported(server);
        }

        @Override
        public boolean reservesSlots() {
            return true;
        }

        @Override
        public double maximumIdleInFlight(ServerState server) {
            return IDLE_SLOT_SHARE * server.server().slots();
        }

        @Override
        public int maximumSampleSize() {
            return MAXIMUM_FINISH_SAMPLE_SERVERS;
        }
    };

    /**
     * The maximum random addition to an estimate, as a share of it. Estimates that differ by less are treated as alike.
     */
    private static final double MAXIMUM_ESTIMATE_JITTER_SHARE = 0.1;

    /** The share of slots in use below which a backend server is idle enough for a hedge. */
    private static final double IDLE_SLOT_SHARE = 0.5;

    /** The maximum number of backend servers whose estimated finish is compared for one selection. */
    private static final int MAXIMUM_FINISH_SAMPLE_SERVERS = 64;

    /** The maximum number of backend servers whose estimated response time is compared for one selection. */
    private static final int MAXIMUM_RESPONSE_SAMPLE_SERVERS = 24;

    /** Returns whether the gateways of a fleet reserve slots, so that their choices do not meet. */
    public boolean reservesSlots() {
        return false;
    }

    /** Returns the maximum number of backend servers that are tested for one selection if some of them have room. */
    public int maximumSampleSize() {
        return Integer.MAX_VALUE;
    }

    /** Returns the number of requests in flight below which a backend server is idle enough for a hedge. */
    public double maximumIdleInFlight(ServerState server) {
        return server.server().slots();
    }

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts.
     *
     * @param candidates the current selection
     */
    public double inFlight(ServerState server, Candidates candidates) {
        return candidates.inFlight(server);
    }

    /**
     * Returns whether a backend server has room for one more request now.
     *
     * @param candidates the current selection
     */
    public boolean admits(ServerState server, Candidates candidates) {
        return server.ownInFlight() < server.server().slots();
    }

    /**
     * Chooses a candidate.
     *
     * @param candidates the candidates, at least one
     * @param turn the number of earlier selections for the service
     * @param random the source of randomness
     */
    public abstract ServerState choose(Candidates candidates, long turn, RandomGenerator random);
}
