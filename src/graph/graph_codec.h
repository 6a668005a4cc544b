#pragma once

#include <string>
#include <string_view>

#include "graph/job_graph.h"
#include "kernel/error.h"

namespace apricotwheel {

// The project's own JSON forms, for the key-value service and between daemons.
// Decoding fails with `corrupt`.
std::string EncodeSubmission(const job_submission& job);
result<job_submission> DecodeSubmission(std::string_view json);

std::string EncodeProgress(const job_progress& progress);
// The shape of the progress is that of `graph`.
result<job_progress> DecodeProgress(std::string_view json,
                                    const job_graph& graph);
// Only the state, for readers that do not have the graph.
result<job_state> DecodeProgressState(std::string_view json);

// Progress of a job of which nothing has run.
job_progress InitialProgress(const job_graph& graph);

std::string_view ToString(job_state state);
result<job_state> ParseJobState(std::string_view name);

}  // namespace apricotwheel
