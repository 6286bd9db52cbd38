/** Generates load at a planned rate and verifies every answer and the number of runs of every request. */
package org.chivecourse.standin.load;
