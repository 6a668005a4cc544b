#pragma once

#include "kernel/log.h"

namespace apricotwheel::graph_events {

inline constexpr log_event_kind kJobAdmitted{2100, "graph_job_admitted",
                                             severity::kInfo};
inline constexpr log_event_kind kJobFinished{2101, "graph_job_finished",
                                             severity::kInfo};
inline constexpr log_event_kind kRunOrdered{2102, "graph_run_ordered",
                                            severity::kDebug};
inline constexpr log_event_kind kRunRefused{2103, "graph_run_refused",
                                            severity::kInfo};
inline constexpr log_event_kind kRunEnded{2104, "graph_run_ended",
                                          severity::kDebug};
inline constexpr log_event_kind kRunUnknown{2105, "graph_run_unknown",
                                            severity::kWarning};
inline constexpr log_event_kind kWorkerClaimed{2106, "graph_worker_claimed",
                                               severity::kInfo};
inline constexpr log_event_kind kWorkerGone{2107, "graph_worker_gone",
                                            severity::kWarning};
inline constexpr log_event_kind kWorkerAvoided{2108, "graph_worker_avoided",
                                               severity::kWarning};
inline constexpr log_event_kind kTaskSuspected{2111, "graph_task_suspected",
                                               severity::kInfo};
inline constexpr log_event_kind kTaskGivenUp{2112, "graph_task_given_up",
                                             severity::kWarning};
inline constexpr log_event_kind kMassFailure{2113, "graph_mass_failure",
                                             severity::kWarning};
inline constexpr log_event_kind kTaskCleared{2114, "graph_task_cleared",
                                             severity::kInfo};
inline constexpr log_event_kind kStepWaiting{2110, "graph_step_waiting",
                                             severity::kInfo};
inline constexpr log_event_kind kRunAdopted{2115, "graph_run_adopted",
                                            severity::kInfo};
inline constexpr log_event_kind kRunCutShort{2116, "graph_run_cut_short",
                                             severity::kInfo};
inline constexpr log_event_kind kRunRepeated{2117, "graph_run_repeated",
                                             severity::kInfo};
inline constexpr log_event_kind kStateContradicted{
    2118, "graph_state_contradicted", severity::kError};
inline constexpr log_event_kind kRunUnsettled{2119, "graph_run_unsettled",
                                              severity::kWarning};
inline constexpr log_event_kind kTaskLent{2120, "graph_task_lent",
                                          severity::kInfo};
inline constexpr log_event_kind kWorkerRestarted{2121, "graph_worker_restarted",
                                                 severity::kInfo};
inline constexpr log_event_kind kEndsMissing{2122, "graph_ends_missing",
                                             severity::kWarning};
inline constexpr log_event_kind kLateStart{2123, "graph_late_start",
                                           severity::kWarning};
inline constexpr log_event_kind kRunMoved{2130, "graph_run_moved",
                                          severity::kInfo};
inline constexpr log_event_kind kMovesDelayed{2131, "graph_moves_delayed",
                                              severity::kInfo};

inline constexpr log_event_kind kPlaceWaitBegun{2141, "graph_place_wait_begun",
                                                severity::kDebug};
inline constexpr log_event_kind kPlaceWaitEnded{2142, "graph_place_wait_ended",
                                                severity::kDebug};
inline constexpr log_event_kind kWorkersUneven{2140, "graph_workers_uneven",
                                               severity::kInfo};

}  // namespace apricotwheel::graph_events
