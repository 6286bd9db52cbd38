package org.chivecourse.configuration.model;

/** The rule that says whether requests of a route may run more than once. */
public enum Idempotency {
    /** Requests are idempotent where RFC 9110 defines their method so. */
    BY_METHOD {
        @Override
        public boolean covers(Method method) {
            return method.idempotent();
        }
    },

    /** Requests are idempotent whatever their method. */
    IDEMPOTENT {
        @Override
        public boolean covers(Method method) {
            return true;
        }
    },

    /** Requests are not idempotent whatever their method. */
    NOT_IDEMPOTENT {
        @Override
        public boolean covers(Method method) {
            return false;
        }
    };

    /**
     * Returns whether a request of a method is idempotent under this rule.
     *
     * @param method the method
     * @return {@code true} if the request may run more than once
     */
    public abstract boolean covers(Method method);
}
