/** Reads YAML documents and reports problems with the file, line, key, rejected value and what is allowed. */
package org.chivecourse.configuration.document;
