/** A host's copy of the items that the platform publishes. */
package org.chivecourse.state.publication;
