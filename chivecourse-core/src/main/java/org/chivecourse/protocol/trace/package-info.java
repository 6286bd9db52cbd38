/**
 * Recording of the events of a decision core and the decisions that followed, their file format, their replay, and a
 * check of the invariants that decisions must keep.
 */
package org.chivecourse.protocol.trace;
