#pragma once

#include <string>
#include <string_view>

#include "jobs/job_manager.h"
#include "kernel/error.h"

namespace apricotwheel {

// An error reply of a job call as docs/api.md says.
job_api_response MakeErrorResponse(int status, const error& failure,
                                   std::string_view outcome,
                                   std::string_view reason);

job_api_response MakeNotRunResponse(std::string_view message,
                                    std::string_view reason);
job_api_response MakeUnknownOutcomeResponse(std::string_view message,
                                            std::string_view reason);
job_api_response MakeUnknownJobResponse(std::string_view job_id);

}  // namespace apricotwheel
