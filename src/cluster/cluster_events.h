#pragma once

#include "kernel/log.h"

namespace apricotwheel::cluster_events {

inline constexpr log_event_kind kLeaseAcquired{1400, "cluster_lease_taken",
                                               severity::kInfo};
inline constexpr log_event_kind kLeaseLost{1401, "cluster_lease_lost",
                                           severity::kWarning};
inline constexpr log_event_kind kKvUnreachable{1402, "cluster_kv_unreachable",
                                               severity::kWarning};
inline constexpr log_event_kind kKvReachable{1403, "cluster_kv_reachable",
                                             severity::kInfo};
inline constexpr log_event_kind kRecordInvalid{1404, "cluster_record_invalid",
                                               severity::kError};
inline constexpr log_event_kind kAssignmentWritten{
    1405, "cluster_assignment_written", severity::kInfo};
inline constexpr log_event_kind kDocumentActivated{
    1406, "cluster_document_in_force", severity::kInfo};
inline constexpr log_event_kind kDocumentInvalid{
    1407, "cluster_document_invalid", severity::kError};
inline constexpr log_event_kind kVmListFailed{1408, "cluster_vm_list_failed",
                                              severity::kWarning};

inline constexpr log_event_kind kSeedsWithoutDocument{
    1409, "cluster_seeds_without_document", severity::kWarning};

}  // namespace apricotwheel::cluster_events
