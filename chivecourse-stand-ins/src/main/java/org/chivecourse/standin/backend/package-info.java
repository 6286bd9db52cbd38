/** A stand-in of a backend server with slots, a queue, load reports and faults. */
package org.chivecourse.standin.backend;
