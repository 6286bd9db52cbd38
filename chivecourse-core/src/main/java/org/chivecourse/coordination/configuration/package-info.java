/** The order in which configurations come into force on a host. */
package org.chivecourse.coordination.configuration;
