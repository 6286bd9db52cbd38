package org.chivecourse.configuration.document;

/**
 * Reads a value from a document.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
interface ValueReader<T> {

    /**
     * Reads the value.
     *
     * @return the value
     * @throws DocumentException if the value is missing or not allowed
     */
    T read() throws DocumentException;
}
