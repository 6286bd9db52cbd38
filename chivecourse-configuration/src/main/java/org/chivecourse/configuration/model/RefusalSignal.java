package org.chivecourse.configuration.model;

/**
 * The answer with which a backend server states that it refused a request without running any part of it, so that the
 * request may safely be sent to another backend server.
 *
 * @param status the status code, zero if the service has no such answer
 * @param header the name of the header field that has to be present
 * @param value the value of the header field
 */
public record RefusalSignal(int status, String header, String value) {

    /** The signal of a service whose backend servers never state a refusal. */
    public static final RefusalSignal NONE = new RefusalSignal(0, "", "");

    /** Returns whether the service declares a refusal signal. */
    public boolean declared() {
        return status != 0;
    }

    /**
     * Returns whether an answer states a refusal.
     *
     * @param answerStatus the status code of the answer
     * @param answerValue the value of the header field {@link #header} in the answer, {@code null} if it is absent
     * @return whether the service declares a signal and both its status and value are equal to those of the answer
     */
    public boolean matches(int answerStatus, String answerValue) {
        return declared() && status == answerStatus && value.equals(answerValue);
    }
}
