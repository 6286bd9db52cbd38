package org.chivecourse.configuration.document;

import java.util.List;

/** Signals that a YAML document cannot be read or does not have the structure that its reader requires. */
public class DocumentException extends Exception {

    /**
     * Creates an exception for a line of a document.
     *
     * @param source the file or address that the document was read from
     * @param line the line, counted from one
     * @param problem a description of the problem, with the rejected value and what is allowed
     */
    public DocumentException(String source, int line, String problem) {
        super(source + ":" + line + ": " + problem);
    }

    /**
     * Creates an exception for several problems, whose message has one line for each.
     *
     * @param problems the messages of the problems, each with its source and line
     */
    DocumentException(List<String> problems) {
        super(String.join("\n", problems));
    }

    /**
     * Creates an exception for a whole document.
     *
     * @param source the file or address that the document was read from
     * @param problem a description of the problem
     */
    public DocumentException(String source, String problem) {
        super(source + ": " + problem);
    }
}
