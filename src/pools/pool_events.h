#pragma once

#include "kernel/log.h"

namespace apricotwheel::pool_events {

inline constexpr log_event_kind kPoolAcquired{2200, "pool_acquired",
                                              severity::kInfo};
inline constexpr log_event_kind kPoolLost{2201, "pool_lost",
                                          severity::kWarning};
inline constexpr log_event_kind kPoolLoaded{2202, "pool_loaded",
                                            severity::kInfo};
inline constexpr log_event_kind kPoolTakeoverComplete{2203, "pool_settled",
                                                      severity::kInfo};
inline constexpr log_event_kind kRecordInvalid{2204, "pool_record_invalid",
                                               severity::kError};
inline constexpr log_event_kind kStoreUnreachable{
    2205, "pool_store_unreachable", severity::kWarning};
inline constexpr log_event_kind kStoreReachable{2206, "pool_store_reachable",
                                                severity::kInfo};
inline constexpr log_event_kind kConfigurationApplied{
    2207, "pool_configuration_in_force", severity::kInfo};
inline constexpr log_event_kind kConfigurationInvalid{
    2208, "pool_configuration_invalid", severity::kError};
inline constexpr log_event_kind kWorkerUnreachable{
    2209, "pool_worker_unanswered", severity::kWarning};
inline constexpr log_event_kind kWorkerReachable{2210, "pool_worker_answers",
                                                 severity::kInfo};
inline constexpr log_event_kind kEpochRefused{2211, "pool_epoch_refused",
                                              severity::kWarning};
inline constexpr log_event_kind kApprovalFailed{2212, "pool_approval_failed",
                                                severity::kWarning};
inline constexpr log_event_kind kJobRequestCompleted{2213, "pool_job_answered",
                                                     severity::kInfo};
inline constexpr log_event_kind kCommitFailed{2214, "pool_commit_failed",
                                              severity::kWarning};
inline constexpr log_event_kind kThreadFailed{2215, "pool_thread_failed",
                                              severity::kError};

inline constexpr log_event_kind kMemberDead{2216, "pool_member_dead",
                                            severity::kWarning};
inline constexpr log_event_kind kResponseLost{2217, "pool_answer_lost",
                                              severity::kInfo};
inline constexpr log_event_kind kAgentExited{2218, "pool_agent_exited",
                                             severity::kWarning};
inline constexpr log_event_kind kPoolHandedOver{2219, "pool_handed_over",
                                                severity::kInfo};
inline constexpr log_event_kind kHandOverFailed{2220, "pool_hand_over_failed",
                                                severity::kWarning};
inline constexpr log_event_kind kOwnerQueryFailed{2221, "pool_owner_unanswered",
                                                  severity::kDebug};
inline constexpr log_event_kind kOwnerLoad{2222, "pool_owner_load",
                                           severity::kInfo};
inline constexpr log_event_kind kPoolMove{2223, "pool_move", severity::kInfo};
inline constexpr log_event_kind kJobsRefused{2224, "pool_jobs_refused",
                                             severity::kWarning};
inline constexpr log_event_kind kOverloadKept{2228, "pool_overload_kept",
                                              severity::kWarning};
inline constexpr log_event_kind kJournalLoad{2230, "pool_journal_load",
                                             severity::kInfo};

inline constexpr log_event_kind kPoolDivided{2231, "pool_divided",
                                             severity::kInfo};
inline constexpr log_event_kind kPartitionsNotStored{
    2232, "pool_partitions_not_stored", severity::kWarning};
inline constexpr log_event_kind kDivisionDelayed{2233, "pool_division_delayed",
                                                 severity::kWarning};

inline constexpr log_event_kind kAcceptedBefore{2234, "pool_accepted_before",
                                                severity::kInfo};

inline constexpr log_event_kind kJobsMoved{2235, "pool_jobs_moved",
                                           severity::kInfo};
inline constexpr log_event_kind kAdoptionFailed{2236, "pool_adoption_failed",
                                                severity::kInfo};

inline constexpr log_event_kind kMemberAlive{2237, "pool_member_alive",
                                             severity::kInfo};
inline constexpr log_event_kind kOwnershipRenewed{
    2238, "pool_ownership_renewed", severity::kWarning};
inline constexpr log_event_kind kHostRefused{2239, "pool_host_refused",
                                             severity::kInfo};
inline constexpr log_event_kind kLeasesEnded{2240, "pool_leases_ended",
                                             severity::kInfo};
inline constexpr log_event_kind kAuthorityEnded{2241, "pool_authority_ended",
                                                severity::kWarning};
inline constexpr log_event_kind kAuthorityRegained{
    2242, "pool_authority_regained", severity::kInfo};
inline constexpr log_event_kind kLeasesReleased{2243, "pool_leases_released",
                                                severity::kInfo};
inline constexpr log_event_kind kMisdirectedPoll{2244, "pool_misdirected_poll",
                                                 severity::kWarning};
inline constexpr log_event_kind kMemoryRefusals{2245, "pool_memory_refusals",
                                                severity::kWarning};
inline constexpr log_event_kind kIdRecordsRestored{
    2246, "pool_id_records_restored", severity::kInfo};
inline constexpr log_event_kind kCancelledBefore{2247, "pool_cancelled_before",
                                                 severity::kInfo};
inline constexpr log_event_kind kCancellationsRefused{
    2248, "pool_cancellations_refused", severity::kWarning};
inline constexpr log_event_kind kWorkerLeft{2270, "pool_worker_left",
                                            severity::kInfo};

inline constexpr log_event_kind kLimitDivided{2260, "pool_limit_divided",
                                              severity::kInfo};
inline constexpr log_event_kind kLimitNotDivided{2261, "pool_limit_not_divided",
                                                 severity::kInfo};
inline constexpr log_event_kind kLimitRequested{2262, "pool_limit_requested",
                                                severity::kDebug};

}  // namespace apricotwheel::pool_events
