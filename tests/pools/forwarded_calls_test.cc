// Job requests that daemons forward to the owner of a pool.
#include <boost/test/unit_test.hpp>

#include "tests/pools/daemon_parts.h"

namespace apricotwheel {
namespace {

using testing::daemon_parts;
using testing::fake_store;
using testing::kPool;

struct rig {
  fake_store store;
  daemon_parts owner{store, "owner"};

  rig() {
    BOOST_REQUIRE(Eventually([&] { return owner.Owns() && owner.Serves(); }));
    BOOST_REQUIRE(Eventually([&] {
      return owner.Submit("warm").status == job_call_status::kAccepted;
    }));
  }
  static wire::pool_callT SubmitCall(const std::string& id,
                                     std::int64_t timeout_ms) {
    wire::pool_callT call;
    call.topic = kSubmitTopic;
    call.body = EncodeSubmission(daemon_parts::SmallJob(id));
    call.timeout_ms = timeout_ms;
    return call;
  }
  time_point Ago(duration age) const { return owner.clock->Now() - age; }
};

// Guards against an overloaded owner that executes requests whose senders have
// given up: each was sent again, so that most of what it executed was for
// nobody, and the requests behind it expired as well.
BOOST_FIXTURE_TEST_CASE(an_expired_request_is_not_executed, rig) {
  const auto late = owner.host->HandleJobCall(SubmitCall("late", 600),
                                              Ago(milliseconds(700)));
  BOOST_TEST((late.status == job_call_status::kUnavailable));
  BOOST_TEST(owner.metrics.expired_requests.Value() == 1);
  const auto in_time =
      owner.host->HandleJobCall(SubmitCall("in_time", 5000), Ago({}));
  BOOST_TEST((in_time.status == job_call_status::kAccepted));
  BOOST_TEST(!store.Has(JobKey(kPool, "late")));
}

// Guards against the rejection of requests of an earlier build, which do not
// say how long their sender waits.
BOOST_FIXTURE_TEST_CASE(a_request_without_a_timeout_is_executed, rig) {
  const auto response =
      owner.host->HandleJobCall(SubmitCall("job", 0), Ago(milliseconds(100)));
  BOOST_TEST((response.status == job_call_status::kAccepted));
}

// Guards against an owner that works on after its caller's time: the request
// must carry what is left of it.
BOOST_FIXTURE_TEST_CASE(a_forwarded_request_carries_its_timeout, rig) {
  daemon_parts caller(store, "caller");
  BOOST_REQUIRE(Eventually([&] {
    return caller.Submit("first").status == job_call_status::kAccepted;
  }));
  std::atomic<std::int64_t> timeout_ms = 0;
  owner.peers->SetTimedHandler(
      wire::body::pool_call,
      [&](const std::string&, const wire_message& request, time_point) {
        timeout_ms = request.body.Aspool_call()->timeout_ms;
        job_call_response response;
        response.status = job_call_status::kAccepted;
        return MakePoolReply(EncodeResponse(response));
      });
  caller.Submit("job");
  BOOST_TEST(timeout_ms > 0);
  BOOST_TEST(timeout_ms <= daemon_parts::kJobTimeout.count());
}

}  // namespace
}  // namespace apricotwheel
