/** Checks whether a configuration may be printed and applied, and describes each rule that it violates. */
package org.chivecourse.configuration.rule;
