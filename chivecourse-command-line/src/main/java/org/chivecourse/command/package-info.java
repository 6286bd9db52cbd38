/** The command line of operators. */
package org.chivecourse.command;
