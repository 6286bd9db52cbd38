/** The state of accepted calls and of the attempts to get them answered. */
package org.chivecourse.state.call;
