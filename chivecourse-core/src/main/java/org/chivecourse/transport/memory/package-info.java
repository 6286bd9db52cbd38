/** Bounds the memory that connections take together. */
package org.chivecourse.transport.memory;
