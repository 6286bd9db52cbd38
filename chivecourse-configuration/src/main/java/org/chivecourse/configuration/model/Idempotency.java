package org.chivecourse.configuration.model;

/** Determines whether requests of a route may run more than once. */
public enum Idempotency {
    /** Requests are idempotent if RFC 9110 defines their method as idempotent. */
    BY_METHOD {
        @Override
        public boolean covers(Method method) {
            return method.idempotent();
        }
    },

    /** All requests are idempotent, regardless of their method. */
    IDEMPOTENT {
        @Override
        public boolean covers(Method method) {
            return true;
        }
    },

    /** No requests are idempotent, regardless of their method. */
    NOT_IDEMPOTENT {
        @Override
        public boolean covers(Method method) {
            return false;
        }
    };

    /** Returns whether requests with a method may run more than once. */
    public abstract boolean covers(Method method);
}
