/** The sending of a second copy of an idempotent request that takes unusually long. */
package org.chivecourse.coordination.hedge;
