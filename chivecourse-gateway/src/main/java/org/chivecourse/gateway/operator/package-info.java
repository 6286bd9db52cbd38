/** What operators and the platform's balancer see of a gateway. */
package org.chivecourse.gateway.operator;
