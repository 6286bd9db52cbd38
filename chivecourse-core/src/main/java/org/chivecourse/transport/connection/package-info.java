/**
 * How many connections a process has open on its listeners, and which of them it closes when there are more than it has
 * memory and sockets for.
 */
package org.chivecourse.transport.connection;
