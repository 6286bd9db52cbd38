/** The generator of load with checks of every answer. */
package org.chivecourse.standin.load;
