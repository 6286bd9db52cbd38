/** The deployments that examples, demonstrations and measurements use. */
package org.chivecourse.standin.deployment;
