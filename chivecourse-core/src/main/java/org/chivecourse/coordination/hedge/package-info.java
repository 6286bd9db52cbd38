/** Decides when a second attempt of an idempotent call that takes unusually long is sent. */
package org.chivecourse.coordination.hedge;
