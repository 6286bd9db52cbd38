package org.chivecourse.configuration.document;

import java.util.ArrayList;
import java.util.List;

/** Decides whether the first problem of a document ends reading or all problems are collected. */
interface ProblemHandler {

    /**
     * Handles a problem.
     *
     * @param problem the problem
     * @throws DocumentException if the problem ends reading
     */
    void handle(DocumentException problem) throws DocumentException;

    /**
     * Throws an exception with all collected problems.
     *
     * @throws DocumentException if problems were collected
     */
    void throwIfCollected() throws DocumentException;

    /** Throws the first problem. */
    enum FailFast implements ProblemHandler {
        /** The only instance. */
        INSTANCE;

        @Override
        public void handle(DocumentException problem) throws DocumentException {
            throw problem;
        }

        @Override
        public void throwIfCollected() {
            // No problem is collected: the first one was thrown.
        }
    }

    /** Ignores all problems. */
    enum Ignore implements ProblemHandler {
        /** The only instance. */
        INSTANCE;

        @Override
        public void handle(DocumentException problem) {
            // Ignored: the missing or malformed mapping that contains the value has already been reported.
        }

        @Override
        public void throwIfCollected() {
            // No problem is collected.
        }
    }

    /** Collects all problems. */
    final class Collect implements ProblemHandler {

        /** The messages of the collected problems. */
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
