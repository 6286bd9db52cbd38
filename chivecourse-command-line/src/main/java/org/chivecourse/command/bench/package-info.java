/** Measures gateways and the decision core and compares variants with a baseline in the same run. */
package org.chivecourse.command.bench;
