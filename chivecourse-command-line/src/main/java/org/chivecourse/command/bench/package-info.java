/** Measurements of gateways and their baselines, paired in one run. */
package org.chivecourse.command.bench;
