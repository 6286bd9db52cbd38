/** The configuration that an operator describes: services, backend servers and the rules for their requests. */
package org.chivecourse.configuration.model;
