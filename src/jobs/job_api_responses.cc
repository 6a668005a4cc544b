#include "jobs/job_api_responses.h"

#include <nlohmann/json.hpp>

namespace apricotwheel {

job_api_response MakeErrorResponse(int status, const error& failure,
                                   std::string_view outcome,
                                   std::string_view reason) {
  const nlohmann::json body{{"error",
                             {{"kind", ToString(failure.kind)},
                              {"message", failure.message},
                              {"remedy", failure.remedy}}},
                            {"outcome", outcome},
                            {"reason", reason}};
  return {status,
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

job_api_response MakeNotRunResponse(std::string_view message,
                                    std::string_view reason) {
  return MakeErrorResponse(
      503,
      {error_kind::kUnavailable, std::string(message), "retry after a second"},
      "not_run", reason);
}

job_api_response MakeUnknownOutcomeResponse(std::string_view message,
                                            std::string_view reason) {
  return MakeErrorResponse(504,
                           {error_kind::kTimeout, std::string(message),
                            "retry with the same request_id"},
                           "unknown", reason);
}

job_api_response MakeUnknownJobResponse(std::string_view job_id) {
  return MakeErrorResponse(
      404,
      {error_kind::kNotFound, "no job has the id '" + std::string(job_id) + "'",
       "list the jobs; ended jobs are kept for 10 minutes"},
      "not_run", "unknown_job");
}

}  // namespace apricotwheel
