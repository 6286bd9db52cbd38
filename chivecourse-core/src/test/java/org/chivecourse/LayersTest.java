package org.chivecourse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against imports from a lower layer to a higher one, which would create dependency cycles between layers. */
class LayersTest {

    private static final Path SOURCES = Path.of("src", "main", "java", "org", "chivecourse");

    private static final List<String> LAYERS = List.of("transport", "protocol", "coordination", "state");

    private static final Pattern IMPORT_PATTERN =
            Pattern.compile("^import org\\.chivecourse\\.([a-z]+)\\.", Pattern.MULTILINE);

    @Test
    void layersImportOnlyLowerLayers() throws IOException {
        List<String> violations = new ArrayList<>();
        int files = 0;
        for (String layer : LAYERS) {
            try (Stream<Path> sources = Files.walk(SOURCES.resolve(layer))) {
                for (Path source : sources.filter(Files::isRegularFile).toList()) {
                    files++;
                    violations.addAll(violations(layer, source));
                }
            }
        }
        assertThat(violations, empty());
        assertThat(files, greaterThan(LAYERS.size()));
    }

    private static List<String> violations(String layer, Path source) throws IOException {
        List<String> violations = new ArrayList<>();
        Matcher matcher = IMPORT_PATTERN.matcher(Files.readString(source));
        while (matcher.find()) {
            int imported = LAYERS.indexOf(matcher.group(1));
            if (imported >= 0 && imported < LAYERS.indexOf(layer)) {
                violations.add(source + " imports the layer " + matcher.group(1));
            }
        }
        return violations;
    }
}
