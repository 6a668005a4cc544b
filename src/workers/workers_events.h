#pragma once

#include "kernel/log.h"

namespace apricotwheel {

inline constexpr log_event_kind kWorkerClaimed{1600, "worker_claimed",
                                               severity::kInfo};
inline constexpr log_event_kind kWorkerUnresponsive{1601, "worker_unresponsive",
                                                    severity::kWarning};
inline constexpr log_event_kind kWorkerLeaseExpired{
    1602, "worker_lease_expired", severity::kWarning};
inline constexpr log_event_kind kWorkerLostToSuccessor{
    1603, "worker_lost_to_successor", severity::kInfo};
inline constexpr log_event_kind kTaskOnTwoWorkers{1604, "task_on_two_workers",
                                                  severity::kError};
inline constexpr log_event_kind kStartEffectUnknown{
    1605, "start_effect_unknown", severity::kWarning};
inline constexpr log_event_kind kTaskOverDeclaration{
    1606, "task_over_declaration", severity::kWarning};
inline constexpr log_event_kind kWorkerThreadFailed{
    1607, "worker_thread_failed", severity::kError};

}  // namespace apricotwheel
