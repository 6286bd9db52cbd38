/** The backend servers that announce themselves. */
package org.chivecourse.coordination.registry;
