/** Schedules probes of backend servers' load and health within a budget. */
package org.chivecourse.coordination.measure;
