/** Selects the configuration in force among those that a host receives. */
package org.chivecourse.coordination.configuration;
