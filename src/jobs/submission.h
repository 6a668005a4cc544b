#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "jobs/job_record.h"
#include "jobs/job_replies.h"

namespace apricotwheel {

// Checks the body of POST /v1/jobs against the document. Returns the record of
// the new job or the reply that refuses it.
std::variant<job_record, job_api_response> ParseSubmission(
    std::string_view body, const cell_document& document);

// One line for each resource of `need` that no VM of the list can hold; empty
// if some VM can hold all, or if no list is known.
std::vector<std::string> FindImpossibleResources(const resource_vector& need,
                                                 const vm_list* vms);

}  // namespace apricotwheel
