/** What a gateway meets outside: the header fields that are spoken and where published items come from. */
package org.chivecourse.gateway.environment;
