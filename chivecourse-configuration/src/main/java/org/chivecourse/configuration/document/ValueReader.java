package org.chivecourse.configuration.document;

/**
 * Reads a value.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
interface ValueReader<T> {

    /**
     * Reads the value.
     *
     * @return the value
     * @throws DocumentException if there is a problem
     */
    T read() throws DocumentException;
}
