#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace apricotwheel {

// Category of an error, by what a caller can do about it.
enum class error_kind {
  kInvalidArgument,  // The input is malformed or out of range.
  kNotFound,         // The named object does not exist.
  kConflict,         // A compare-and-swap or an epoch check failed.
  kStaleEpoch,       // A worker, instance or owner has seen a higher epoch.
  kUnavailable,      // The peer cannot be reached or returned an error.
  kTimeout,          // No response in time; the effect is unknown.
  kCapacity,         // Too few resources are free at present.
  kImpossible,       // The cell can never satisfy the request.
  kOverloaded,       // A bounded queue is full.
  kShuttingDown,     // This process is stopping.
  kCorrupt,          // Data failed validation (frame, length, digest).
  kIo,               // A file or socket operation failed.
  kInternal,         // A bug in this program.
};

// Returns the kind's name, for example "not_found".
std::string_view ToString(error_kind kind);

// An error. `message` says what happened, and `remedy` what the reader of the
// message can do about it.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string message;
  std::string remedy;
};

// Returns "kind: message; remedy" on one line.
std::string Describe(const error& failure);

template <class T>
using result = boost::leaf::result<T>;

// Creates the failed result of a function: `return Fail(...)`.
boost::leaf::error_id Fail(error failure);
boost::leaf::error_id Fail(error_kind kind, std::string message,
                           std::string remedy);

template <class Result>
struct result_value;
template <class T>
struct result_value<boost::leaf::result<T>> {
  using type = T;
};

// The value or the error of a finished call, as plain data. Unlike a `result`,
// it can be passed to another thread: LEAF keeps error objects in the thread
// that created them.
template <class T>
struct outcome {
  std::optional<T> value;
  error failure;

  explicit operator bool() const { return value.has_value(); }
  T& operator*() { return *value; }
  const T& operator*() const { return *value; }
  T* operator->() { return &*value; }
  const T* operator->() const { return &*value; }
};

template <>
struct outcome<void> {
  bool succeeded = false;
  error failure;

  explicit operator bool() const { return succeeded; }
};

// Calls `function`, which returns a `result`, and returns its value or error.
// LEAF keeps an error object only if a handler for it is active when the error
// is created, so a function whose error is needed must run inside `Attempt`.
template <class Function>
auto Attempt(Function&& function) {
  using value_type =
      typename result_value<std::invoke_result_t<Function>>::type;
  return boost::leaf::try_handle_all(
      [&]() -> result<outcome<value_type>> {
        if constexpr (std::is_void_v<value_type>) {
          BOOST_LEAF_CHECK(std::forward<Function>(function)());
          return outcome<void>{true, {}};
        } else {
          BOOST_LEAF_AUTO(value, std::forward<Function>(function)());
          return outcome<value_type>{std::move(value), {}};
        }
      },
      [](const error& failure) {
        outcome<value_type> failed;
        failed.failure = failure;
        return failed;
      },
      [] {
        outcome<value_type> failed;
        failed.failure = {error_kind::kInternal,
                          "an untyped error was returned",
                          "report this as a bug"};
        return failed;
      });
}

}  // namespace apricotwheel
