package org.chivecourse.protocol.http;

import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Reads the header field by which a backend server states for how long it stays cold, in milliseconds. */
public final class WarmUpField {

    /** Matches the value of the field: whole milliseconds up to a day, with a fraction that is rounded up. */
    private static final Pattern PATTERN = Pattern.compile("(\\d{1,8})(\\.\\d*)?");

    /** This class has only static methods. */
    private WarmUpField() {}

    /**
     * Parses a value.
     *
     * @param value the value, {@code null} if the field is missing
     * @return the time in nanoseconds, zero if the backend server is warm, {@code null} if there is no readable value
     */
    public static Long parse(String value) {
        if (value == null || !PATTERN.matcher(value.trim()).matches()) {
            return null;
        }
        long milliseconds = (long) Math.ceil(Double.parseDouble(value.trim()));
        return TimeUnit.MILLISECONDS.toNanos(Math.min(milliseconds, TimeUnit.DAYS.toMillis(1)));
    }
}
