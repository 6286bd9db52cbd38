package org.chivecourse.coordination.choice;

import java.util.random.RandomGenerator;
import org.chivecourse.state.server.ServerState;

/** A way to choose a backend server among candidates. */
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

    /** Chooses the candidate with the fewest requests of this host, and the first at random among equals. */
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

    /** Chooses of two random candidates the one with the fewer requests of this host. */
    POWER_OF_TWO {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            ServerState first = candidates.get(random.nextInt(candidates.size()));
            ServerState second = candidates.get(random.nextInt(candidates.size()));
            return second.ownInFlight() < first.ownInFlight() ? second : first;
        }
    },

    /** Chooses the candidate with the least estimated time. */
    LEAST_ESTIMATE {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            int start = random.nextInt(candidates.size());
            int best = start;
            double least = candidates.responseNanoseconds(start);
            for (int offset = 1; offset < candidates.size(); offset++) {
                int index = (start + offset) % candidates.size();
                double estimate = candidates.responseNanoseconds(index);
                if (estimate < least) {
                    least = estimate;
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
     * Chooses the backend server that is estimated to answer first, from stated loads and the slowness of machines;
     * backend servers that are nearly alike are chosen at random, so that hosts which see the same do not all choose
     * the same.
     */
    EARLIEST_FINISH {
        @Override
        public ServerState choose(Candidates candidates, long turn, RandomGenerator random) {
            int best = 0;
            double least = Double.MAX_VALUE;
            for (int index = 0; index < candidates.size(); index++) {
                double estimate =
                        candidates.finishNanoseconds(index) * (1 + MAXIMUM_ESTIMATE_JITTER_SHARE * random.nextDouble());
                if (estimate < least) {
                    least = estimate;
                    best = index;
                }
            }
            return candidates.get(best);
        }

        @Override
        public boolean admits(ServerState server, Candidates candidates) {
            return candidates.inFlightWithUnreported(server) < FinishEstimate.efficientInFlightLimit(server);
        }

        @Override
        public double inFlight(ServerState server, Candidates candidates) {
            return candidates.inFlightWithUnreported(server);
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

    /** The difference up to which estimates count as alike. */
    private static final double MAXIMUM_ESTIMATE_JITTER_SHARE = 0.1;

    /** The share of slots in use up to which a backend server is idle enough for a second copy. */
    private static final double IDLE_SLOT_SHARE = 0.5;

    /** The largest number of backend servers among which the earliest finish is sought. */
    private static final int MAXIMUM_FINISH_SAMPLE_SERVERS = 64;

    /** The largest number of backend servers that are compared by their estimates. */
    private static final int MAXIMUM_RESPONSE_SAMPLE_SERVERS = 24;

    /**
     * Returns the largest number of backend servers that are looked at for one choice if some of them have room.
     *
     * @return the number
     */
    public int maximumSampleSize() {
        return Integer.MAX_VALUE;
    }

    /**
     * Returns the number of requests in flight up to which a backend server is idle enough for a second copy.
     *
     * @param server the backend server
     * @return the number of requests
     */
    public double maximumIdleInFlight(ServerState server) {
        return server.server().slots();
    }

    /**
     * Returns the estimated number of requests in flight at a backend server over all hosts.
     *
     * @param server the backend server
     * @param candidates what is known of the moment
     * @return the number of requests
     */
    public double inFlight(ServerState server, Candidates candidates) {
        return candidates.inFlight(server);
    }

    /**
     * Returns whether a backend server has room for one more request.
     *
     * @param server the backend server
     * @param candidates the present choice
     * @return {@code true} if a request may be sent to it now
     */
    public boolean admits(ServerState server, Candidates candidates) {
        return server.ownInFlight() < server.server().slots();
    }

    /**
     * Chooses a candidate.
     *
     * @param candidates the candidates, at least one
     * @param turn the number of choices made before for the service
     * @param random the source of randomness
     * @return the chosen backend server
     */
    public abstract ServerState choose(Candidates candidates, long turn, RandomGenerator random);
}
