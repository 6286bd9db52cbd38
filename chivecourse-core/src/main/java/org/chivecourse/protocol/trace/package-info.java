/** Records of the events of a host and the decisions that followed, and their replay. */
package org.chivecourse.protocol.trace;
