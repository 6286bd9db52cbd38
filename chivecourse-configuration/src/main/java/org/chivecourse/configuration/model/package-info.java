/** Models the configuration that operators describe: services, backend servers and the routes of their requests. */
package org.chivecourse.configuration.model;
