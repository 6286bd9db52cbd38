package org.chivecourse.coordination.host;

import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Service;
import org.chivecourse.coordination.event.Event;
import org.chivecourse.coordination.health.HealthCheckResult;
import org.chivecourse.state.server.LoadReport;

/** The faults of the fault matrix, as events and configurations that the decision core receives. */
enum CoreFault {
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
    COLD_START {
        @Override
        void inject(FaultRun run) {
            run.configure(run.service()
                    .backendServer(
                            BackendServer.at("10.0.1." + run.revision() + ":80").in("si-b")));
        }
    },
    SHED {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(503, true, false, null));
        }
    },
    FAIL_FAST {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(500, false, false, null));
        }
    },
    CRASH {
        @Override
        void inject(FaultRun run) {
            run.end(false);
        }
    },
    CONNECTION_REFUSED {
        @Override
        void inject(FaultRun run) {
            run.end(true);
        }
    },
    LYING_REPORT {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(200, false, false, new LoadReport(0, 1)));
        }
    },
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
    ANSWER_CUT {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(200, false, false, null));
            run.end(false);
        }
    },
    ANSWER_TWICE {
        @Override
        void inject(FaultRun run) {
            run.answerHead(new Event.AnswerHead(200, false, false, null));
            run.answerHead(new Event.AnswerHead(200, false, false, null));
        }
    },
    PAUSE {
        @Override
        void inject(FaultRun run) {
            run.harness().advanceWithoutTicks(5000);
        }
    },
    CALLER_GONE {
        @Override
        void inject(FaultRun run) {
            run.harness().handle(new Event.CallerDisconnected(run.call()));
        }
    },
    CALLER_RESENDS {
        @Override
        void inject(FaultRun run) {
            run.resend();
        }
    },
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
