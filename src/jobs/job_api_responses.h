#pragma once

#include <string>
#include <string_view>

#include "jobs/job_manager.h"
#include "kernel/error.h"

namespace apricotwheel {

// Returns an error response in the format of docs/api.md.
job_api_response MakeErrorResponse(int status, const error& failure,
                                   std::string_view outcome,
                                   std::string_view reason);

// 503: the request had no effect.
job_api_response MakeNotRunResponse(std::string_view message,
                                    std::string_view reason);
// 504: the request may have had an effect.
job_api_response MakeUnknownOutcomeResponse(std::string_view message,
                                            std::string_view reason);
// 404: no job has this id.
job_api_response MakeUnknownJobResponse(std::string_view job_id);

}  // namespace apricotwheel
