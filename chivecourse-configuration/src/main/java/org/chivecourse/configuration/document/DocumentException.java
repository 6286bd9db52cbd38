package org.chivecourse.configuration.document;

import java.util.List;

/** Signals that a YAML document does not have the shape that its reader requires. */
public class DocumentException extends Exception {

    /**
     * Creates an exception for a place in a document.
     *
     * @param source the file or address the document was read from
     * @param line the line in the document, counted from one
     * @param problem what is wrong, with the offending value and what is allowed
     */
    public DocumentException(String source, int line, String problem) {
        super(source + ":" + line + ": " + problem);
    }

    /**
     * Creates an exception for several problems.
     *
     * @param problems the problems, each with its place
     */
    DocumentException(List<String> problems) {
        super(String.join("\n", problems));
    }

    /**
     * Creates an exception for a document as a whole.
     *
     * @param source the file or address the document was read from
     * @param problem what is wrong
     */
    public DocumentException(String source, String problem) {
        super(source + ": " + problem);
    }
}
