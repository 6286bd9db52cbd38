package org.chivecourse.standin.backend;

/** Enumerates the faults that can be injected into a simulated backend server. */
public enum Fault {
    /** The server behaves normally. */
    NONE,

    /** Each request takes longer by the slowdown factor of the profile. */
    STRAGGLE,

    /** Other processes occupy the server's machine at random for a few milliseconds, and requests take longer then. */
    NOISY,

    /** The server has just started; its requests take longer, less and less so until it has warmed up. */
    COLD,

    /** The server reports that it is leaving, but still accepts requests. */
    DRAIN,

    /** The server refuses every request with its refusal signal. */
    SHED,

    /** The server immediately answers every request with status 500. */
    FAIL_FAST,

    /** The server always reports that it has no requests in flight. */
    LIE,

    /** The server closes the connection in the middle of each answer. */
    CUT,

    /** The server writes the body of each answer without end. */
    FLOOD {
        @Override
        int endlessChunkBytes() {
            return FLOOD_CHUNK_BYTES;
        }
    },

    /** The server writes the body of each answer without end, in chunks of one byte. */
    FLOOD_OF_SMALL_CHUNKS {
        @Override
        int endlessChunkBytes() {
            return 1;
        }
    };

    /** The size of the chunks of a flood. */
    private static final int FLOOD_CHUNK_BYTES = 16 * 1024;

    /** Returns the size of the chunks of a body without end, zero if bodies end. */
    int endlessChunkBytes() {
        return 0;
    }
}
