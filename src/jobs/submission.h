#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "jobs/job_api_responses.h"
#include "jobs/job_record.h"

namespace apricotwheel {

// Parses the body of POST /v1/jobs and checks it against the document. Returns
// the record of the new job, or an error response.
std::variant<job_record, job_api_response> ParseSubmission(
    std::string_view body, const cell_document& document);

// Returns one line for each resource of `need` that exceeds every VM of the
// list. Returns nothing if some VM can hold `need`, or if the list is empty.
std::vector<std::string> FindImpossibleResources(const resource_vector& need,
                                                 const vm_list* vms);

}  // namespace apricotwheel
