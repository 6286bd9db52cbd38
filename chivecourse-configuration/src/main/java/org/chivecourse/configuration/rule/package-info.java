/** The rules that a configuration has to meet. */
package org.chivecourse.configuration.rule;
