/** What happens to a host, as told to its decision core. */
package org.chivecourse.coordination.event;
