/**
 * The data centres whose backend servers get no requests because the operator has asked for it: which ones, since when
 * and on whose word.
 */
package org.chivecourse.coordination.evacuation;
