package org.chivecourse.coordination.host;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.state.server.LoadReport;

/**
 * The faults of the fault matrix, as events and configurations that the decision core receives. A trace file is named
 * after each of them.
 */
enum CoreFault {
    /** 1.5 seconds pass without an answer. */
    STRAGGLER {
        @Override
        void inject(FaultRun run) {
            run.harness().advance(1500);
        }
    },
    DRAIN_BY_HEALTH {
        @Override
        void inject(FaultRun run) {
            run.harness().handle(new Event.HealthChecked(run.address(), HealthCheckResult.LEAVING));
        }
    },
    DRAIN_BY_CONFIGURATION {
        @Override
        void inject(FaultRun run) {
            run.configure(run.service()
                    .backendServers(run.service().backendServers().stream()
                            .map(server -> server.address().equals(run.address()) ? server.leaving() : server)
                            .toList()));
        }
    },
    DRAIN_BY_HEADER {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(200, false, true, null));
        }
    },
    /** A configuration adds a backend server that has not warmed up yet. */
    COLD_START {
        @Override
        void inject(FaultRun run) {
            run.configure(run.service()
                    .backendServer(
                            BackendServer.at("10.0.1." + run.revision() + ":80").in("si-b")));
        }
    },
    /** The backend server refuses the request with the refusal signal of its service. */
    SHED {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(503, true, false, null));
        }
    },
    /** The backend server answers with status 500. */
    FAIL_FAST {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(500, false, false, null));
        }
    },
    CRASH {
        @Override
        void inject(FaultRun run) {
            run.failAttempt(false);
        }
    },
    CONNECTION_REFUSED {
        @Override
        void inject(FaultRun run) {
            run.failAttempt(true);
        }
    },
    /** A load report claims that no request is in flight. */
    LYING_REPORT {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(200, false, false, new LoadReport(0, 1)));
        }
    },
    /** The health endpoint reports that the backend server is leaving, and then that it is serving. */
    LYING_HEALTH {
        @Override
        void inject(FaultRun run) {
            DRAIN_BY_HEALTH.inject(run);
            run.harness().handle(new Event.HealthChecked(run.address(), HealthCheckResult.SERVING));
        }
    },
    SLOTS_FULL {
        @Override
        void inject(FaultRun run) {
            run.fillSlots();
        }
    },
    /** The connection breaks after the header of the answer has arrived. */
    ANSWER_CUT {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(200, false, false, null));
            run.failAttempt(false);
        }
    },
    /** Two answers to the same attempt start. */
    ANSWER_TWICE {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(200, false, false, null));
            run.answerHead(new Event.AnswerHead(200, false, false, null));
        }
    },
    /** The gateway process is suspended for five seconds. */
    PAUSE {
        @Override
        void inject(FaultRun run) {
            run.harness().advanceWithoutTicks(5000);
        }
    },
    /** The caller disconnects. */
    CALLER_GONE {
        @Override
        void inject(FaultRun run) {
            run.harness().handle(new Event.CallerDisconnected(run.call()));
        }
    },
    /** The caller sends a duplicate of its request. */
    CALLER_RESENDS {
        @Override
        void inject(FaultRun run) {
            run.resend();
        }
    },
    /** An older configuration arrives. */
    STALE_CONFIGURATION {
        @Override
        void inject(FaultRun run) {
            run.harness().configure(1, CoreHarness.jobsService(1));
        }
    },
    CONFLICTING_CONFIGURATION {
        @Override
        void inject(FaultRun run) {
            run.harness().configure(run.revision(), CoreHarness.jobsService(4));
        }
    },
    /** A configuration that cannot be parsed arrives. */
    BROKEN_CONFIGURATION {
        @Override
        void inject(FaultRun run) {
            run.harness().handle(new Event.ConfigurationRejected("test", "broken"));
        }
    },
    SERVICE_REMOVED {
        @Override
        void inject(FaultRun run) {
            run.configure(Service.named("other")
                    .backendServer(BackendServer.at("10.0.2.1:80").in("si-a")));
        }
    };

    abstract void inject(FaultRun run);
}
