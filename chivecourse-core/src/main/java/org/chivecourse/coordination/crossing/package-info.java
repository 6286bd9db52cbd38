/** Decides when a call leaves its data centre, and what data centres tell each other for that. */
package org.chivecourse.coordination.crossing;
