/** The settings of a gateway, read from YAML and checked. */
package org.chivecourse.gateway.settings;
