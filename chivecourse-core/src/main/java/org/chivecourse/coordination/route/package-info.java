/** The rules that say which service takes a request. */
package org.chivecourse.coordination.route;
