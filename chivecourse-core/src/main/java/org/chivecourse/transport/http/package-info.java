/** The adapters between HTTP connections and a host's decision core. */
package org.chivecourse.transport.http;
