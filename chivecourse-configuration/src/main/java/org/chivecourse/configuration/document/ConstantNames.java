package org.chivecourse.configuration.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.ScalarNode;

/** The names of constants in documents: in lower case with hyphens. */
public final class ConstantNames {

    /** Not to be constructed. */
    private ConstantNames() {}

    /**
     * Returns the names of an enumeration's constants in documents.
     *
     * @param type the enumeration
     * @return the names, separated by commas
     */
    static String allNames(Class<? extends Enum<?>> type) {
        List<String> names = new ArrayList<>();
        for (Enum<?> constant : type.getEnumConstants()) {
            names.add(of(constant));
        }
        return String.join(", ", names);
    }

    /**
     * Returns the name of a constant in documents.
     *
     * @param constant the constant
     * @return the name in lower case with hyphens
     */
    public static String of(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a constant by its name.
     *
     * @param type the enumeration
     * @param name the name
     * @param <E> the enumeration
     * @return the constant, or {@code null} if there is none
     */
    static <E extends Enum<E>> E find(Class<E> type, String name) {
        for (E constant : type.getEnumConstants()) {
            if (of(constant).equals(name)) {
                return constant;
            }
        }
        return null;
    }

    /**
     * Returns a node's text or kind.
     *
     * @param node the node
     * @return the text of a scalar, otherwise the kind of the node
     */
    static String describe(Node node) {
        return node instanceof ScalarNode scalar
                ? scalar.getValue()
                : node.getNodeId().toString();
    }
}
