package org.chivecourse.configuration.model;

/**
 * The answer by which a backend server states that it refused a request without running any of it.
 *
 * @param status the status code, zero if the service has no such answer
 * @param header the name of the header field that has to be present
 * @param value the value of the header field
 */
public record RefusalSignal(int status, String header, String value) {

    /** The signal of a service whose backend servers never state a refusal. */
    public static final RefusalSignal NONE = new RefusalSignal(0, "", "");

    /**
     * Returns whether the service declares a signal.
     *
     * @return {@code true} if there is a signal
     */
    public boolean declared() {
        return status != 0;
    }

    /**
     * Returns whether an answer is the signal.
     *
     * @param answerStatus the status code of the answer
     * @param answerValue the value of the answer's header field, {@code null} if it is absent
     * @return {@code true} if the answer states a refusal
     */
    public boolean matches(int answerStatus, String answerValue) {
        return declared() && status == answerStatus && value.equals(answerValue);
    }
}
