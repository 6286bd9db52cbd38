/** The printed form of a configuration: deterministic YAML, its digest and its reader. */
package org.chivecourse.configuration.format;
