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

/** Reads the values of one YAML mapping, and reports keys that were never requested as unknown. */
public final class MappingReader {

    /** The description of a text value for error messages. */
    private static final String ALLOWED_TEXT = "a text of at least one character";

    /** The document that contains the mapping. */
    private final Document document;

    /** The mapping, or the enclosing mapping if this one is missing; problems are reported at its line. */
    private final MappingNode mapping;

    /** The path of the mapping, empty at the root. */
    private final String path;

    /** The value nodes by key, in the order of the document. */
    private final Map<String, Node> values = new LinkedHashMap<>();

    /** The key nodes by key, which give the lines of unknown keys. */
    private final Map<String, Node> keyNodes = new LinkedHashMap<>();

    /** The keys that were requested, whether present or not. All others are unknown. */
    private final Set<String> requestedKeys = new LinkedHashSet<>();

    /**
     * Creates a reader of a mapping and records the lines of its keys.
     *
     * @param document the document that contains the mapping
     * @param mapping the mapping
     * @param path the path of the mapping, empty at the root
     * @throws DocumentException if a key is a duplicate or not a scalar
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
     * Creates a reader of a missing mapping, which has no keys.
     *
     * @param document the document that lacks the mapping
     * @param path the path of the missing mapping
     * @param parent the mapping in which it is missing
     */
    private MappingReader(Document document, String path, MappingNode parent) {
        this.document = document;
        this.mapping = parent;
        this.path = path;
    }

    /**
     * Adds a key and its value.
     *
     * @param tuple the nodes of the key and the value
     * @throws DocumentException if the key is a duplicate or not a scalar
     */
    private void addEntry(NodeTuple tuple) throws DocumentException {
        if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
            throw document.createException(tuple.getKeyNode(), "key is not a scalar");
        }
        if (values.putIfAbsent(key.getValue(), tuple.getValueNode()) != null) {
            throw document.createException(key, "key \"" + pathOf(key.getValue()) + "\" is a duplicate");
        }
        keyNodes.put(key.getValue(), key);
        document.recordLine(pathOf(key.getValue()), key);
    }

    /** Returns whether a key is present, and marks it as requested. */
    public boolean has(String key) {
        requestedKeys.add(key);
        return values.containsKey(key);
    }

    /**
     * Returns a required text.
     *
     * @param key the key
     * @return the text, never empty unless problems are collected
     * @throws DocumentException if the key is missing or its value is not a text of at least one character
     */
    public String text(String key) throws DocumentException {
        return readOrPlaceholder(() -> scalarText(key, requiredNode(key, ALLOWED_TEXT), ALLOWED_TEXT), "");
    }

    /**
     * Returns an optional text.
     *
     * @param key the key
     * @param defaultValue the text for a missing key
     * @return the text
     * @throws DocumentException if the value is not a text of at least one character
     */
    public String text(String key, String defaultValue) throws DocumentException {
        return has(key) ? text(key) : defaultValue;
    }

    /**
     * Returns a required integer.
     *
     * @param key the key
     * @param minimum the smallest allowed value
     * @param maximum the largest allowed value
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
     * @param minimum the smallest allowed value
     * @param maximum the largest allowed value
     * @param defaultValue the integer for a missing key, which may lie outside the range
     * @return the integer
     * @throws DocumentException if the value is not an integer in the range
     */
    public long integer(String key, long minimum, long maximum, long defaultValue) throws DocumentException {
        return has(key) ? integer(key, minimum, maximum) : defaultValue;
    }

    /**
     * Returns an optional floating-point number.
     *
     * @param key the key
     * @param minimum the smallest allowed value
     * @param maximum the largest allowed value
     * @param defaultValue the number for a missing key, which may lie outside the range
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
     * Returns an optional boolean.
     *
     * @param key the key
     * @param defaultValue the boolean for a missing key
     * @return the boolean
     * @throws DocumentException if the value is neither {@code true} nor {@code false}; other YAML booleans such as
     *     {@code no} are not accepted
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
     * Returns an optional enum constant, given by its name as {@link ConstantNames} defines it.
     *
     * @param key the key
     * @param type the enum type
     * @param defaultConstant the constant for a missing key
     * @param <E> the enum type
     * @return the constant
     * @throws DocumentException if the value is not the name of a constant
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
     * Returns a required list of enum constants, given by their names as {@link ConstantNames} defines them.
     *
     * @param key the key
     * @param type the enum type
     * @param <E> the enum type
     * @return the constants in the order of the document, possibly none
     * @throws DocumentException if the key is missing or an item is not the name of a constant
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
     * @return the reader; if the mapping is missing or malformed and problems are collected, one that has no keys
     *     and ignores problems
     * @throws DocumentException if the key is missing or its value is not a mapping
     */
    public MappingReader mapping(String key) throws DocumentException {
        return readOrPlaceholder(() -> readerOf(requiredNode(key, "a mapping"), pathOf(key)), emptyReader(key));
    }

    /**
     * Returns readers of a required list of mappings.
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
     * @throws DocumentException if the key is missing or its value is not a list of texts of at least one character
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
     * Reports every key that was not requested. Must be called after all known keys were requested.
     *
     * @throws DocumentException if the mapping has an unknown key and problems are not collected
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
     * Reads a value. If that fails, passes the problem to the handler of the document and returns a placeholder.
     *
     * @param reader reads the value
     * @param placeholder the value to continue with if the handler does not throw the problem
     * @param <T> the type of the value
     * @return the value or the placeholder
     * @throws DocumentException if the problem ends reading
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
     * Returns a reader of a missing mapping, which has no keys and ignores problems.
     *
     * @param key the key of the missing mapping
     * @return the reader
     */
    private MappingReader emptyReader(String key) {
        return new MappingReader(document.viewIgnoringProblems(), pathOf(key), mapping);
    }

    /**
     * Reports that the value of a key is not allowed.
     *
     * @param key the key; if it is missing, the line of the mapping is reported
     * @param allowed a description of the allowed values
     * @throws DocumentException if the problem ends reading
     */
    public void reportInvalidValue(String key, String allowed) throws DocumentException {
        document.problemHandler().handle(createValueException(key, allowed));
    }

    /**
     * Returns an exception for a key whose value is not allowed.
     *
     * @param key the key; if it is missing, the line of the mapping is reported
     * @param allowed a description of the allowed values
     * @return the exception
     */
    public DocumentException createValueException(String key, String allowed) {
        Node node = values.getOrDefault(key, mapping);
        return createNodeException(key, node, ConstantNames.describe(node), allowed);
    }

    /** Returns the path of a key from the root of the document. */
    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /**
     * Returns the value node of a required key, and marks the key as requested.
     *
     * @param key the key
     * @param allowed a description of the allowed values
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
     * @param key the key of the value
     * @param node the node of the value or of an item in it
     * @param allowed a description of the allowed values
     * @return the text, never empty
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
     * @param allowed a description of the allowed values
     * @return the nodes in the order of the document
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
     * @throws DocumentException if the node is not a mapping, or one of its keys is a duplicate or not a scalar
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
     * Returns the enum constant with the name in a node.
     *
     * @param key the key of the value
     * @param node the node of the value or of an item in it
     * @param type the enum type
     * @param allowed a description of the allowed values
     * @param <E> the enum type
     * @return the constant
     * @throws DocumentException if the node is not the name of a constant
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
     * Returns an exception for a value that is not allowed.
     *
     * @param key the key of the value
     * @param node the node whose line is reported
     * @param text the rejected value
     * @param allowed a description of the allowed values
     * @return the exception
     */
    private DocumentException createNodeException(String key, Node node, String text, String allowed) {
        return document.createException(
                node, "key \"" + pathOf(key) + "\": value \"" + text + "\" is not allowed, allowed: " + allowed);
    }
}
