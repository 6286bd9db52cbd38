/** The path of a call through a host: waiting, attempts, answer. */
package org.chivecourse.coordination.call;
