/** The exchange between gateways: who is there, which configuration is highest, which backend servers leave. */
package org.chivecourse.coordination.membership;
