/** Chooses the backend server of an attempt, by policies that range from random to an estimate of the finish time. */
package org.chivecourse.coordination.choice;
