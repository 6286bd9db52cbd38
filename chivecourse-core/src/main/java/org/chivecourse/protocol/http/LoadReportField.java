package org.chivecourse.protocol.http;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivecourse.state.server.LoadReport;

/**
 * Formats and parses the value of the header field {@link HeaderNames#LOAD_REPORT}, such as {@code in-flight=3,
 * slots=4}.
 */
public final class LoadReportField {

    /** The pattern of a value, with the requests in flight and the slots as its groups. */
    private static final Pattern PATTERN = Pattern.compile("in-flight=([0-9]{1,6}), slots=([0-9]{1,6})");

    /** This class has only static methods. */
    private LoadReportField() {}

    /**
     * Formats a load report. The header field does not hold the slowness.
     *
     * @param report the report
     * @return the value of the header field
     */
    public static String format(LoadReport report) {
        return "in-flight=" + report.inFlight() + ", slots=" + report.slots();
    }

    /**
     * Parses a load report.
     *
     * @param value the value of the header field, {@code null} if the field is absent
     * @return the report, empty if the field is absent or malformed
     */
    public static Optional<LoadReport> parse(String value) {
        if (value == null) {
            return Optional.empty();
        }
        Matcher matcher = PATTERN.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new LoadReport(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2))));
    }
}
