#pragma once

#include "kernel/log.h"

namespace apricotwheel {

inline constexpr log_event_kind kShardTaken{1700, "shard_taken",
                                            severity::kInfo};
inline constexpr log_event_kind kShardLost{1701, "shard_lost", severity::kInfo};
inline constexpr log_event_kind kShardLoadFailed{1702, "shard_load_failed",
                                                 severity::kWarning};
inline constexpr log_event_kind kJobCommitFailed{1703, "job_commit_failed",
                                                 severity::kWarning};
inline constexpr log_event_kind kJobStoreFenced{1704, "job_store_fenced",
                                                severity::kWarning};
inline constexpr log_event_kind kTaskFailed{1705, "task_failed",
                                            severity::kInfo};
inline constexpr log_event_kind kTaskLost{1706, "task_lost",
                                          severity::kWarning};
inline constexpr log_event_kind kInventoryComplete{1707, "inventory_complete",
                                                   severity::kInfo};
inline constexpr log_event_kind kJobRecordCorrupt{1708, "job_record_corrupt",
                                                  severity::kError};

}  // namespace apricotwheel
