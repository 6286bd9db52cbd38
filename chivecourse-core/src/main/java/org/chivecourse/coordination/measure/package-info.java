/** The measuring of backend servers within its budget. */
package org.chivecourse.coordination.measure;
