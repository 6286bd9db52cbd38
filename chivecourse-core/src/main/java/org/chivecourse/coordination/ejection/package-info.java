/** Excludes failing backend servers for a time. */
package org.chivecourse.coordination.ejection;
