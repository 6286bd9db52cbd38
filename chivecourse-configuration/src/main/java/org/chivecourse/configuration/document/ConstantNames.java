package org.chivecourse.configuration.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.ScalarNode;

/** Converts enum constants to their names in documents, which are in lower case with hyphens instead of underscores. */
public final class ConstantNames {

    /** Prevents instantiation. */
    private ConstantNames() {}

    /** Returns the names of all constants of an enum type, separated by commas. */
    static String allNames(Class<? extends Enum<?>> type) {
        List<String> names = new ArrayList<>();
        for (Enum<?> constant : type.getEnumConstants()) {
            names.add(of(constant));
        }
        return String.join(", ", names);
    }

    /** Returns the name of a constant in documents. */
    public static String of(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the constant with a name.
     *
     * @param type the enum type
     * @param name the name as in documents; other spellings, such as upper case, are not accepted
     * @param <E> the enum type
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

    /** Returns the text of a scalar node, or the kind of any other node, for error messages. */
    static String describe(Node node) {
        return node instanceof ScalarNode scalar
                ? scalar.getValue()
                : node.getNodeId().toString();
    }
}
