package org.chivecourse.configuration.document;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;

/** A parsed YAML document that records the line of each path that is read from it. */
public final class Document {

    /** The maximum size of a document in characters. Larger ones are rejected before they are parsed. */
    public static final int MAXIMUM_CHARACTERS = 1024 * 1024;

    /** The maximum nesting depth of a document. */
    private static final int MAXIMUM_NESTING_DEPTH = 20;

    /** The file or address that the document was read from. */
    private final String source;

    /** The root mapping of the document. */
    private final MappingNode root;

    /** The handler of problems. By default, the first problem ends reading. */
    private ProblemHandler problemHandler = ProblemHandler.FailFast.INSTANCE;

    /** The line of each recorded path, counted from one. */
    private final Map<String, Integer> lines = new HashMap<>();

    /**
     * Creates a document from its parsed root.
     *
     * @param source the file or address that the document was read from
     * @param root the root mapping
     */
    private Document(String source, MappingNode root) {
        this.source = source;
        this.root = root;
    }

    /**
     * Reads a document from a file in UTF-8.
     *
     * @param path the file
     * @return the document
     * @throws DocumentException if the file does not exist, cannot be read or does not contain a YAML mapping
     */
    public static Document read(Path path) throws DocumentException {
        try {
            return parse(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
        } catch (NoSuchFileException exception) {
            throw new DocumentException(path.toString(), "file does not exist");
        } catch (IOException exception) {
            throw new DocumentException(path.toString(), "file cannot be read: " + exception);
        }
    }

    /**
     * Collects the problems found from now on, instead of throwing the first one.
     *
     * @return this document
     */
    public Document collectProblems() {
        problemHandler = new ProblemHandler.Collect();
        return this;
    }

    /**
     * Throws an exception with all collected problems.
     *
     * @throws DocumentException if problems were collected
     */
    public void throwCollectedProblems() throws DocumentException {
        problemHandler.throwIfCollected();
    }

    /**
     * Returns a view of this document that ignores problems. It is used to read the parts of a missing or malformed
     * mapping, of which only the mapping itself is reported.
     */
    Document viewIgnoringProblems() {
        Document view = new Document(source, root);
        view.problemHandler = ProblemHandler.Ignore.INSTANCE;
        return view;
    }

    /** Returns the handler that problems of this document are passed to. */
    ProblemHandler problemHandler() {
        return problemHandler;
    }

    /**
     * Parses a document.
     *
     * @param source the file or address that the text was read from
     * @param text the text
     * @return the document
     * @throws DocumentException if the text is too long or does not contain exactly one YAML mapping
     */
    public static Document parse(String source, String text) throws DocumentException {
        if (text.length() > MAXIMUM_CHARACTERS) {
            throw new DocumentException(
                    source, "document has " + text.length() + " characters, allowed: at most " + MAXIMUM_CHARACTERS);
        }
        Node node = compose(source, text);
        if (node instanceof MappingNode mapping) {
            return new Document(source, mapping);
        }
        int line = node == null ? 1 : node.getStartMark().getLine() + 1;
        throw new DocumentException(source, line, "document is not a YAML mapping of keys to values");
    }

    /**
     * Parses a text into a tree of nodes.
     *
     * @param source the file or address that the text was read from
     * @param text the text
     * @return the root node, or {@code null} for an empty text
     * @throws DocumentException if the text is not YAML
     */
    private static Node compose(String source, String text) throws DocumentException {
        LoaderOptions options = new LoaderOptions();
        // MappingReader reports duplicate keys with their path.
        options.setAllowDuplicateKeys(true);
        options.setMaxAliasesForCollections(0);
        options.setNestingDepthLimit(MAXIMUM_NESTING_DEPTH);
        options.setCodePointLimit(MAXIMUM_CHARACTERS);
        try {
            return new Yaml(options).compose(new StringReader(text));
        } catch (MarkedYAMLException exception) {
            int line = exception.getProblemMark() == null
                    ? 1
                    : exception.getProblemMark().getLine() + 1;
            throw new DocumentException(source, line, "document is not YAML: " + exception.getProblem());
        } catch (YAMLException exception) {
            throw new DocumentException(source, "document is not YAML: " + exception.getMessage());
        }
    }

    /**
     * Returns a new reader of the root mapping.
     *
     * @return the reader
     * @throws DocumentException if a key of the root mapping is a duplicate or not a scalar
     */
    public MappingReader rootReader() throws DocumentException {
        return new MappingReader(this, root, "");
    }

    /**
     * Returns the line of a path or, if it was not recorded, of its nearest recorded parent.
     *
     * @param path the path, such as {@code services[0].name}
     * @return the line, counted from one; the first line if no parent was recorded
     */
    public int line(String path) {
        String candidate = path;
        while (!candidate.isEmpty()) {
            Integer line = lines.get(candidate);
            if (line != null) {
                return line;
            }
            candidate = parent(candidate);
        }
        return 1;
    }

    /** Returns the parent of a path, which is empty at the root. */
    private static String parent(String path) {
        int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
        return end < 0 ? "" : path.substring(0, end);
    }

    /**
     * Records the line of a path.
     *
     * @param path the path, such as {@code services[0].name}
     * @param node the node of the key or list item at that path
     */
    void recordLine(String path, Node node) {
        lines.put(path, node.getStartMark().getLine() + 1);
    }

    /**
     * Returns an exception for a problem at the line of a node.
     *
     * @param node the node
     * @param problem a description of the problem
     * @return the exception
     */
    DocumentException createException(Node node, String problem) {
        return new DocumentException(source, node.getStartMark().getLine() + 1, problem);
    }
}
