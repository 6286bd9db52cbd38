package org.chivecourse.configuration.document;

import java.util.ArrayList;
import java.util.List;

/** What becomes of the problems of a document: the first one ends its reading, or all are collected. */
interface ProblemHandler {

    /**
     * Takes a problem.
     *
     * @param problem the problem
     * @throws DocumentException if the problem ends the reading
     */
    void handle(DocumentException problem) throws DocumentException;

    /**
     * Ends the reading if there were problems.
     *
     * @throws DocumentException if there were some
     */
    void throwIfCollected() throws DocumentException;

    /** Lets the first problem end the reading. */
    enum FailFast implements ProblemHandler {
        /** The only instance. */
        INSTANCE;

        @Override
        public void handle(DocumentException problem) throws DocumentException {
            throw problem;
        }

        @Override
        public void throwIfCollected() {
            // The first problem has ended the reading.
        }
    }

    /** Has no problems. */
    enum Ignore implements ProblemHandler {
        /** The only instance. */
        INSTANCE;

        @Override
        public void handle(DocumentException problem) {
            // The value that is missing as a whole is the problem.
        }

        @Override
        public void throwIfCollected() {
            // There are no problems.
        }
    }

    /** Collects all problems. */
    final class Collect implements ProblemHandler {

        /** The problems. */
        private final List<String> problems = new ArrayList<>();

        @Override
        public void handle(DocumentException problem) {
            problems.add(problem.getMessage());
        }

        @Override
        public void throwIfCollected() throws DocumentException {
            if (!problems.isEmpty()) {
                throw new DocumentException(problems);
            }
        }
    }
}
