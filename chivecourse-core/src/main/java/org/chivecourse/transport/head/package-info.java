/**
 * What the heads of HTTP messages may hold in memory. A head costs far more once it is decoded than its bytes, by line,
 * so its lines are counted while they arrive, over all connections.
 */
package org.chivecourse.transport.head;
