#pragma once

#include <httplib.h>

#include "jobs/job_manager.h"

namespace apricotwheel {

// Adds the routes of docs/api.md, "Jobs".
void AddJobRoutes(httplib::Server& server, job_manager& jobs);

}  // namespace apricotwheel
