/** Describes the deployments that examples, demonstrations and benchmarks use. */
package org.chivecourse.standin.deployment;
