/** Writes requests, changes and library messages as JSON lines without blocking the threads that log them. */
package org.chivecourse.gateway.log;
