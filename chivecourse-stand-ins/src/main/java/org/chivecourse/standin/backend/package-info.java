/** Provides a simulated backend server with a bounded number of slots, a queue, load reports and injectable faults. */
package org.chivecourse.standin.backend;
