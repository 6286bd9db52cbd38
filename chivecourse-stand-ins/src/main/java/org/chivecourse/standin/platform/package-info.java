/** Simulates the platform's configuration service and host list. */
package org.chivecourse.standin.platform;
