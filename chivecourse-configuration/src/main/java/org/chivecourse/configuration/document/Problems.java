package org.chivecourse.configuration.document;

import java.util.ArrayList;
import java.util.List;

/** What becomes of the problems of a document: the first one ends its reading, or all are collected. */
interface Problems {

    /**
     * Takes a problem.
     *
     * @param problem the problem
     * @throws DocumentException if the problem ends the reading
     */
    void add(DocumentException problem) throws DocumentException;

    /**
     * Ends the reading if there were problems.
     *
     * @throws DocumentException if there were some
     */
    void check() throws DocumentException;

    /** Lets the first problem end the reading. */
    enum First implements Problems {
        /** The only instance. */
        INSTANCE;

        @Override
        public void add(DocumentException problem) throws DocumentException {
            throw problem;
        }

        @Override
        public void check() {
            // The first problem has ended the reading.
        }
    }

    /** Has no problems. */
    enum None implements Problems {
        /** The only instance. */
        INSTANCE;

        @Override
        public void add(DocumentException problem) {
            // The value that is missing as a whole is the problem.
        }

        @Override
        public void check() {
            // There are no problems.
        }
    }

    /** Collects all problems. */
    final class All implements Problems {

        /** The problems. */
        private final List<String> problems = new ArrayList<>();

        @Override
        public void add(DocumentException problem) {
            problems.add(problem.getMessage());
        }

        @Override
        public void check() throws DocumentException {
            if (!problems.isEmpty()) {
                throw new DocumentException(problems);
            }
        }
    }
}
