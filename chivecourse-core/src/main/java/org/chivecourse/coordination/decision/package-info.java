/** The decisions that a gateway's decision core returns for the transport to execute. */
package org.chivecourse.coordination.decision;
