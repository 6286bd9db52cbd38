/** The set-up of logs as JSON lines. */
package org.chivecourse.gateway.log;
