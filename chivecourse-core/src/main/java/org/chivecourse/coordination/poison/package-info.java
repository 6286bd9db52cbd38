/** The recognition of requests that crash each backend server that runs them. */
package org.chivecourse.coordination.poison;
