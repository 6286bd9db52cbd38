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

/** A parsed YAML document that remembers the line of every path read from it. */
public final class Document {

    /** The largest document that is read, in characters. */
    public static final int MAXIMUM_CHARACTERS = 1024 * 1024;

    /** The deepest nesting that is read. */
    private static final int MAXIMUM_NESTING_DEPTH = 20;

    /** The file or address the document was read from. */
    private final String source;

    /** The root of the document. */
    private final MappingNode root;

    /** What becomes of problems. */
    private ProblemHandler problemHandler = ProblemHandler.FailFast.INSTANCE;

    /** The line of each path that was read. */
    private final Map<String, Integer> lines = new HashMap<>();

    /**
     * Creates a document.
     *
     * @param source the file or address the document was read from
     * @param root the root of the document
     */
    private Document(String source, MappingNode root) {
        this.source = source;
        this.root = root;
    }

    /**
     * Reads a document from a file.
     *
     * @param path the file
     * @return the document
     * @throws DocumentException if the file cannot be read or does not hold a YAML mapping
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
     * Collects the problems from now on, in place of ending the reading at the first.
     *
     * @return this document
     */
    public Document collectProblems() {
        problemHandler = new ProblemHandler.Collect();
        return this;
    }

    /**
     * Ends the reading if problems were collected.
     *
     * @throws DocumentException if there were some, with all of them
     */
    public void throwCollectedProblems() throws DocumentException {
        problemHandler.throwIfCollected();
    }

    /**
     * Returns a view of this document that has no problems, for the parts of a value that is missing as a whole.
     *
     * @return the view
     */
    Document viewIgnoringProblems() {
        Document view = new Document(source, root);
        view.problemHandler = ProblemHandler.Ignore.INSTANCE;
        return view;
    }

    /**
     * Returns what becomes of problems.
     *
     * @return the problems
     */
    ProblemHandler problemHandler() {
        return problemHandler;
    }

    /**
     * Parses a document.
     *
     * @param source the file or address the text was read from
     * @param text the text
     * @return the document
     * @throws DocumentException if the text does not hold exactly one YAML mapping
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
     * Composes the node tree of a text.
     *
     * @param source the file or address the text was read from
     * @param text the text
     * @return the root node, or {@code null} for an empty text
     * @throws DocumentException if the text is not YAML
     */
    private static Node compose(String source, String text) throws DocumentException {
        LoaderOptions options = new LoaderOptions();
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
     * Returns a reader of the root mapping.
     *
     * @return the reader
     * @throws DocumentException if a key stands twice or is not a plain text
     */
    public MappingReader rootReader() throws DocumentException {
        return new MappingReader(this, root, "");
    }

    /**
     * Returns the line of a path, or of its nearest parent that was read.
     *
     * @param path the path, such as {@code services[0].name}
     * @return the line, counted from one
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

    /**
     * Returns the parent of a path.
     *
     * @param path the path
     * @return the parent, empty at the root
     */
    private static String parent(String path) {
        int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
        return end < 0 ? "" : path.substring(0, end);
    }

    /**
     * Records the line of a path.
     *
     * @param path the path
     * @param node the node found there
     */
    void recordLine(String path, Node node) {
        lines.put(path, node.getStartMark().getLine() + 1);
    }

    /**
     * Creates an exception for a node.
     *
     * @param node the node
     * @param problem what is wrong
     * @return the exception
     */
    DocumentException createException(Node node, String problem) {
        return new DocumentException(source, node.getStartMark().getLine() + 1, problem);
    }
}
