/** The rules by which a request is sent again. */
package org.chivecourse.coordination.retry;
