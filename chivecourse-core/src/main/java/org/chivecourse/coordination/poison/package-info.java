/** Recognizes and blocks requests that crash the backend servers that run them. */
package org.chivecourse.coordination.poison;
