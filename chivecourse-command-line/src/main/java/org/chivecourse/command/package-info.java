/** Implements the command line for operators: gateways, configurations, status, traces and simulated services. */
package org.chivecourse.command;
