#pragma once
// The open requests of a gateway, and the recent responses that it may have to resend.
#include <optional>

#include "programs/open_request.hpp"

namespace mosskeel {

/// The open requests of a gateway, keyed by attempt id. At most one request per attempt is open.
class OpenRequests {
 public:
  /// The request, or null. The pointer is valid until the request is closed.
  OpenRequest* find(const std::string& attempt);
  /// Adds a request whose attempt must not be open yet.
  OpenRequest& add(OpenRequest request);
  /// Removes a request and invalidates references to it.
  void close(const std::string& attempt) { requests_.erase(attempt); }

  size_t size() const { return requests_.size(); }
  bool empty() const { return requests_.empty(); }
  /// Number of requests in a stage.
  size_t count(RequestStage stage) const;
  size_t count_if(const std::function<bool(const OpenRequest&)>& matches) const;
  bool contains_if(const std::function<bool(const OpenRequest&)>& matches) const;

  /// The attempt ids of all requests, as copies, because handling one request may close others.
  std::vector<std::string> attempts() const;
  /// The attempt ids of all requests that use this history, as copies; forwarded requests are not included.
  std::vector<std::string> attempts_on(const HistoryName& history) const;

 private:
  std::map<std::string, OpenRequest> requests_;
};

/// Final responses to forwarded requests, for gateways that did not receive them and retry. Attempt ids are remembered
/// much longer than their responses, so that an attempt is not started again.
class RecentResponses {
 public:
  void remember(const ProgramResponse& response, TimePoint now);
  /// Whether the attempt was answered recently.
  bool contains(const std::string& attempt) const { return responses_.count(attempt) != 0; }
  /// The response if it is still stored, else null.
  const ProgramResponse* find(const std::string& attempt) const;
  /// Drops responses older than kResponseRetention and attempt ids older than kAttemptIdRetention.
  void expire(TimePoint now);

 private:
  struct Answered {
    TimePoint at{};
    std::optional<ProgramResponse> response;
  };
  std::map<std::string, Answered> responses_;
};

}  // namespace mosskeel
