package org.chivecourse.configuration.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Reads the keys of one YAML mapping and refuses the keys that nobody read. */
public final class MappingReader {

    /** What is allowed for a text. */
    private static final String ALLOWED_TEXT = "a text of at least one character";

    /** The document that holds the mapping. */
    private final Document document;

    /** The mapping. */
    private final MappingNode mapping;

    /** The path of the mapping, empty at the root. */
    private final String path;

    /** The values by key. */
    private final Map<String, Node> values = new LinkedHashMap<>();

    /** The key nodes by key. */
    private final Map<String, Node> keyNodes = new LinkedHashMap<>();

    /** The keys that were asked for. */
    private final Set<String> requestedKeys = new LinkedHashSet<>();

    /**
     * Creates a reader.
     *
     * @param document the document that holds the mapping
     * @param mapping the mapping
     * @param path the path of the mapping, empty at the root
     * @throws DocumentException if a key stands twice or is not a plain text
     */
    MappingReader(Document document, MappingNode mapping, String path) throws DocumentException {
        this.document = document;
        this.mapping = mapping;
        this.path = path;
        for (NodeTuple tuple : mapping.getValue()) {
            addEntry(tuple);
        }
    }

    /**
     * Creates a reader of a mapping without keys.
     *
     * @param document the document that lacks the mapping
     * @param path the path of the mapping
     * @param parent the mapping that lacks it
     */
    private MappingReader(Document document, String path, MappingNode parent) {
        this.document = document;
        this.mapping = parent;
        this.path = path;
    }

    /**
     * Adds a key and its value.
     *
     * @param tuple the key and the value
     * @throws DocumentException if the key stands twice or is not a plain text
     */
    private void addEntry(NodeTuple tuple) throws DocumentException {
        if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
            throw document.createException(tuple.getKeyNode(), "key is not a plain text");
        }
        if (values.putIfAbsent(key.getValue(), tuple.getValueNode()) != null) {
            throw document.createException(key, "key \"" + pathOf(key.getValue()) + "\" stands twice");
        }
        keyNodes.put(key.getValue(), key);
        document.recordLine(pathOf(key.getValue()), key);
    }

    /**
     * Returns whether a key is present, and marks it as known.
     *
     * @param key the key
     * @return {@code true} if the mapping holds the key
     */
    public boolean has(String key) {
        requestedKeys.add(key);
        return values.containsKey(key);
    }

    /**
     * Returns a required text.
     *
     * @param key the key
     * @return the text
     * @throws DocumentException if the key is missing or its value is not a text of at least one character
     */
    public String text(String key) throws DocumentException {
        return readOrPlaceholder(() -> scalarText(key, requiredNode(key, ALLOWED_TEXT), ALLOWED_TEXT), "");
    }

    /**
     * Returns an optional text.
     *
     * @param key the key
     * @param defaultValue the value for a missing key
     * @return the text
     * @throws DocumentException if the value is not a text
     */
    public String text(String key, String defaultValue) throws DocumentException {
        return has(key) ? text(key) : defaultValue;
    }

    /**
     * Returns a required integer.
     *
     * @param key the key
     * @param minimum the least value allowed
     * @param maximum the largest value allowed
     * @return the integer
     * @throws DocumentException if the key is missing or its value is not an integer in the range
     */
    public long integer(String key, long minimum, long maximum) throws DocumentException {
        return readOrPlaceholder(
                () -> {
                    String allowed = "an integer from " + minimum + " to " + maximum;
                    Node node = requiredNode(key, allowed);
                    String text = scalarText(key, node, allowed);
                    try {
                        long value = Long.parseLong(text);
                        if (value >= minimum && value <= maximum) {
                            return value;
                        }
                    } catch (NumberFormatException exception) {
                        throw createNodeException(key, node, text, allowed);
                    }
                    throw createNodeException(key, node, text, allowed);
                },
                minimum);
    }

    /**
     * Returns an optional integer.
     *
     * @param key the key
     * @param minimum the least value allowed
     * @param maximum the largest value allowed
     * @param defaultValue the value for a missing key
     * @return the integer
     * @throws DocumentException if the value is not an integer in the range
     */
    public long integer(String key, long minimum, long maximum, long defaultValue) throws DocumentException {
        return has(key) ? integer(key, minimum, maximum) : defaultValue;
    }

    /**
     * Returns an optional number.
     *
     * @param key the key
     * @param minimum the least value allowed
     * @param maximum the largest value allowed
     * @param defaultValue the value for a missing key
     * @return the number
     * @throws DocumentException if the value is not a number in the range
     */
    public double number(String key, double minimum, double maximum, double defaultValue) throws DocumentException {
        return readOrPlaceholder(
                () -> {
                    if (!has(key)) {
                        return defaultValue;
                    }
                    String allowed = "a number from " + minimum + " to " + maximum;
                    Node node = requiredNode(key, allowed);
                    String text = scalarText(key, node, allowed);
                    try {
                        double value = Double.parseDouble(text);
                        if (value >= minimum && value <= maximum) {
                            return value;
                        }
                    } catch (NumberFormatException exception) {
                        throw createNodeException(key, node, text, allowed);
                    }
                    throw createNodeException(key, node, text, allowed);
                },
                defaultValue);
    }

    /**
     * Returns an optional truth value.
     *
     * @param key the key
     * @param defaultValue the value for a missing key
     * @return the truth value
     * @throws DocumentException if the value is neither {@code true} nor {@code false}
     */
    public boolean booleanValue(String key, boolean defaultValue) throws DocumentException {
        return readOrPlaceholder(
                () -> {
                    if (!has(key)) {
                        return defaultValue;
                    }
                    String allowed = "true or false";
                    Node node = requiredNode(key, allowed);
                    String text = scalarText(key, node, allowed);
                    if (!text.equals("true") && !text.equals("false")) {
                        throw createNodeException(key, node, text, allowed);
                    }
                    return text.equals("true");
                },
                defaultValue);
    }

    /**
     * Returns an optional constant of an enumeration, written in lower case with hyphens.
     *
     * @param key the key
     * @param type the enumeration
     * @param defaultConstant the value for a missing key
     * @param <E> the enumeration
     * @return the constant
     * @throws DocumentException if the value names no constant
     */
    public <E extends Enum<E>> E enumConstant(String key, Class<E> type, E defaultConstant) throws DocumentException {
        return readOrPlaceholder(
                () -> {
                    if (!has(key)) {
                        return defaultConstant;
                    }
                    String allowed = "one of " + ConstantNames.allNames(type);
                    return toConstant(key, requiredNode(key, allowed), type, allowed);
                },
                defaultConstant);
    }

    /**
     * Returns a required list of constants of an enumeration.
     *
     * @param key the key
     * @param type the enumeration
     * @param <E> the enumeration
     * @return the constants in the order of the document
     * @throws DocumentException if the key is missing or a value names no constant
     */
    public <E extends Enum<E>> List<E> enumConstants(String key, Class<E> type) throws DocumentException {
        return readOrPlaceholder(
                () -> {
                    String allowed = "a list of " + ConstantNames.allNames(type);
                    List<E> constants = new ArrayList<>();
                    for (Node node : requiredSequence(key, allowed)) {
                        constants.add(toConstant(key, node, type, allowed));
                    }
                    return List.copyOf(constants);
                },
                List.of());
    }

    /**
     * Returns a reader of a required mapping.
     *
     * @param key the key
     * @return the reader
     * @throws DocumentException if the key is missing or its value is not a mapping
     */
    public MappingReader mapping(String key) throws DocumentException {
        return readOrPlaceholder(() -> readerOf(requiredNode(key, "a mapping"), pathOf(key)), emptyReader(key));
    }

    /**
     * Returns readers of the mappings in a required list.
     *
     * @param key the key
     * @return the readers in the order of the document
     * @throws DocumentException if the key is missing or its value is not a list of mappings
     */
    public List<MappingReader> mappings(String key) throws DocumentException {
        return readOrPlaceholder(
                () -> {
                    List<MappingReader> readers = new ArrayList<>();
                    for (Node node : requiredSequence(key, "a list of mappings")) {
                        String itemPath = pathOf(key) + "[" + readers.size() + "]";
                        document.recordLine(itemPath, node);
                        readers.add(readerOf(node, itemPath));
                    }
                    return List.copyOf(readers);
                },
                List.of());
    }

    /**
     * Returns a required list of texts.
     *
     * @param key the key
     * @return the texts in the order of the document
     * @throws DocumentException if the key is missing or its value is not a list of texts
     */
    public List<String> texts(String key) throws DocumentException {
        return readOrPlaceholder(
                () -> {
                    List<String> texts = new ArrayList<>();
                    for (Node node : requiredSequence(key, "a list of texts")) {
                        texts.add(scalarText(key, node, "a list of texts"));
                    }
                    return List.copyOf(texts);
                },
                List.of());
    }

    /**
     * Refuses every key that was not asked for.
     *
     * @throws DocumentException if the mapping holds an unknown key
     */
    public void rejectUnknownKeys() throws DocumentException {
        for (Map.Entry<String, Node> key : keyNodes.entrySet()) {
            if (!requestedKeys.contains(key.getKey())) {
                String allowed =
                        NearestKey.hint(key.getKey(), requestedKeys) + ", allowed: " + String.join(", ", requestedKeys);
                String problem = "unknown key \"" + pathOf(key.getKey()) + "\"" + allowed;
                document.problemHandler().handle(document.createException(key.getValue(), problem));
            }
        }
    }

    /**
     * Reads a value, or takes a placeholder if there is a problem and problems are collected.
     *
     * @param reader reads the value
     * @param placeholder the value that stands in
     * @param <T> the type of the value
     * @return the value
     * @throws DocumentException if a problem ends the reading
     */
    private <T> T readOrPlaceholder(ValueReader<T> reader, T placeholder) throws DocumentException {
        try {
            return reader.read();
        } catch (DocumentException problem) {
            document.problemHandler().handle(problem);
            return placeholder;
        }
    }

    /**
     * Returns a reader of a mapping that is missing.
     *
     * @param key the key of the mapping
     * @return a reader that finds nothing and has no problems
     */
    private MappingReader emptyReader(String key) {
        return new MappingReader(document.viewIgnoringProblems(), pathOf(key), mapping);
    }

    /**
     * Takes a problem of the value of a key that was read before.
     *
     * @param key the key
     * @param allowed what is allowed
     * @throws DocumentException if a problem ends the reading
     */
    public void reportInvalidValue(String key, String allowed) throws DocumentException {
        document.problemHandler().handle(createValueException(key, allowed));
    }

    /**
     * Creates an exception for the value of a key that was read before.
     *
     * @param key the key
     * @param allowed what is allowed
     * @return the exception
     */
    public DocumentException createValueException(String key, String allowed) {
        Node node = values.getOrDefault(key, mapping);
        return createNodeException(key, node, ConstantNames.describe(node), allowed);
    }

    /**
     * Returns the path of a key.
     *
     * @param key the key
     * @return the path
     */
    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /**
     * Returns the node of a required key.
     *
     * @param key the key
     * @param allowed what is allowed
     * @return the node
     * @throws DocumentException if the key is missing
     */
    private Node requiredNode(String key, String allowed) throws DocumentException {
        requestedKeys.add(key);
        Node node = values.get(key);
        if (node == null) {
            throw document.createException(mapping, "key \"" + pathOf(key) + "\" is missing, allowed: " + allowed);
        }
        return node;
    }

    /**
     * Returns the text of a scalar node.
     *
     * @param key the key
     * @param node the node
     * @param allowed what is allowed
     * @return the text
     * @throws DocumentException if the node is not a scalar or is empty
     */
    private String scalarText(String key, Node node, String allowed) throws DocumentException {
        if (node instanceof ScalarNode scalar && !scalar.getValue().isEmpty()) {
            return scalar.getValue();
        }
        throw createNodeException(key, node, ConstantNames.describe(node), allowed);
    }

    /**
     * Returns the nodes of a required sequence.
     *
     * @param key the key
     * @param allowed what is allowed
     * @return the nodes
     * @throws DocumentException if the key is missing or its value is not a sequence
     */
    private List<Node> requiredSequence(String key, String allowed) throws DocumentException {
        Node node = requiredNode(key, allowed);
        if (node instanceof SequenceNode sequence) {
            return sequence.getValue();
        }
        throw createNodeException(key, node, ConstantNames.describe(node), allowed);
    }

    /**
     * Returns a reader of a mapping node.
     *
     * @param node the node
     * @param nodePath the path of the node
     * @return the reader
     * @throws DocumentException if the node is not a mapping
     */
    private MappingReader readerOf(Node node, String nodePath) throws DocumentException {
        if (node instanceof MappingNode innerMapping) {
            return new MappingReader(document, innerMapping, nodePath);
        }
        throw document.createException(
                node,
                "key \"" + nodePath + "\": value \"" + ConstantNames.describe(node)
                        + "\" is not allowed, allowed: a mapping");
    }

    /**
     * Returns the constant that a node names.
     *
     * @param key the key
     * @param node the node
     * @param type the enumeration
     * @param allowed what is allowed
     * @param <E> the enumeration
     * @return the constant
     * @throws DocumentException if the node names no constant
     */
    private <E extends Enum<E>> E toConstant(String key, Node node, Class<E> type, String allowed)
            throws DocumentException {
        String text = scalarText(key, node, allowed);
        E constant = ConstantNames.find(type, text);
        if (constant != null) {
            return constant;
        }
        throw createNodeException(key, node, text, allowed);
    }

    /**
     * Creates an exception for a value that is not allowed.
     *
     * @param key the key
     * @param node the node of the value
     * @param text the value
     * @param allowed what is allowed
     * @return the exception
     */
    private DocumentException createNodeException(String key, Node node, String text, String allowed) {
        return document.createException(
                node, "key \"" + pathOf(key) + "\": value \"" + text + "\" is not allowed, allowed: " + allowed);
    }
}
