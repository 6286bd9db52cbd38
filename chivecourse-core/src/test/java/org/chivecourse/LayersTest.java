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

class LayersTest {

    private static final Path SOURCES = Path.of("src", "main", "java", "org", "chivecourse");

    private static final List<String> LAYERS = List.of("transport", "protocol", "coordination", "state");

    private static final Pattern IMPORT = Pattern.compile("^import org\\.chivecourse\\.([a-z]+)\\.", Pattern.MULTILINE);

    @Test
    void eachLayerKnowsOnlyThoseBelow() throws IOException {
        List<String> breaches = new ArrayList<>();
        int files = 0;
        for (String layer : LAYERS) {
            try (Stream<Path> sources = Files.walk(SOURCES.resolve(layer))) {
                for (Path source : sources.filter(Files::isRegularFile).toList()) {
                    files++;
                    breaches.addAll(breaches(layer, source));
                }
            }
        }
        assertThat(breaches, empty());
        assertThat(files, greaterThan(LAYERS.size()));
    }

    private static List<String> breaches(String layer, Path source) throws IOException {
        List<String> breaches = new ArrayList<>();
        Matcher matcher = IMPORT.matcher(Files.readString(source));
        while (matcher.find()) {
            int imported = LAYERS.indexOf(matcher.group(1));
            if (imported >= 0 && imported < LAYERS.indexOf(layer)) {
                breaches.add(source + " imports the layer " + matcher.group(1));
            }
        }
        return breaches;
    }
}
