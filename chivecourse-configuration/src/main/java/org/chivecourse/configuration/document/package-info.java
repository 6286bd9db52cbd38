/** Reading of YAML documents with errors that name the file, line, key, value and what is allowed. */
package org.chivecourse.configuration.document;
