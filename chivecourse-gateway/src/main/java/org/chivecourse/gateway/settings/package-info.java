/** Reads the settings of a gateway from YAML and checks them before the gateway starts. */
package org.chivecourse.gateway.settings;
