/** The calls that a host has accepted and the attempts to get them answered. */
package org.chivecourse.state.call;
