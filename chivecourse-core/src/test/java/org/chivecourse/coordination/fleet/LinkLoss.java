package org.chivecourse.coordination.fleet;

/** How the lost links of a gateway show on its connections. */
enum LinkLoss {
    /** Nothing comes back on open connections, and new ones time out. */
    HANGING {
        @Override
        long failureMilliseconds() {
            return CONNECT_TIMEOUT_MILLISECONDS;
        }

        @Override
        boolean keepsOpenConnections() {
            return true;
        }
    },

    /** Open connections are reset, and new ones are. */
    RESET {
        @Override
        long failureMilliseconds() {
            return 1;
        }

        @Override
        boolean keepsOpenConnections() {
            return false;
        }
    },

    /** Open connections go on working, and new ones are refused. */
    NEW_REFUSED {
        @Override
        long failureMilliseconds() {
            return 1;
        }

        @Override
        boolean keepsOpenConnections() {
            return true;
        }
    };

    /** The time after which a connection is given up on. */
    private static final long CONNECT_TIMEOUT_MILLISECONDS = 200;

    /** Returns the time after which a new connection fails. */
    abstract long failureMilliseconds();

    /** Returns whether connections that are already open seem to work. */
    abstract boolean keepsOpenConnections();
}
