/** The trail of changes that operators see. */
package org.chivecourse.gateway.audit;
