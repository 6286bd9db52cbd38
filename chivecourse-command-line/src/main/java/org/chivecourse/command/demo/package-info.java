/** The demonstration of the whole on loopback. */
package org.chivecourse.command.demo;
