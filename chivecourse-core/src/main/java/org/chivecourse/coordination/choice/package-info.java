/** The choice of a backend server for an attempt. */
package org.chivecourse.coordination.choice;
