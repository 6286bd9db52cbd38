/** Records the changes that operators can read in the log and in the status of a gateway. */
package org.chivecourse.gateway.audit;
