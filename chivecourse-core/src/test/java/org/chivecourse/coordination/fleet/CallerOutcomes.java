package org.chivecourse.coordination.fleet;

/** What has become of the requests that arrived at some gateways. */
final class CallerOutcomes {

    int arrived;

    int served;

    double servedShare() {
        return (double) served / arrived;
    }

    int failed() {
        return arrived - served;
    }

    int arrived() {
        return arrived;
    }
}
