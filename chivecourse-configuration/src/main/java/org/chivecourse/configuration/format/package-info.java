/** Prints configurations as deterministic YAML with a digest, and reads them back. */
package org.chivecourse.configuration.format;
