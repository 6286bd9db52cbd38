/** Starts, runs, reloads and stops a gateway, and connects its decision core to listeners, watches and connections. */
package org.chivecourse.gateway.daemon;
