#pragma once
// The requests that a gateway works on, and the responses that it may have to repeat.
#include <optional>

#include "programs/open_request.hpp"

namespace mosskeel {

/// The open requests of a gateway by their attempt id. At most one request of an attempt is open.
class OpenRequests {
 public:
  /// The request, or null. Valid until it is closed.
  OpenRequest* find(const std::string& attempt);
  /// Takes a request whose attempt is not open yet.
  OpenRequest& add(OpenRequest request);
  /// Forgets a request; references to it become invalid.
  void close(const std::string& attempt) { requests_.erase(attempt); }

  size_t size() const { return requests_.size(); }
  bool empty() const { return requests_.empty(); }
  /// How many requests are in one stage.
  size_t count(RequestStage stage) const;
  size_t count_if(const std::function<bool(const OpenRequest&)>& matches) const;
  bool contains_if(const std::function<bool(const OpenRequest&)>& matches) const;

  /// The attempts of all requests, as copies: handling one may close others.
  std::vector<std::string> attempts() const;
  /// The attempts that wait for this history, as copies; forwarded ones do not.
  std::vector<std::string> attempts_on(const HistoryName& history) const;

 private:
  std::map<std::string, OpenRequest> requests_;
};

/// Final responses to forwarded requests, for gateways that did not get theirs and ask again. An attempt is known much
/// longer than its response is kept, so that it is not begun anew.
class RecentResponses {
 public:
  void remember(const ProgramResponse& response, TimePoint now);
  /// Whether the attempt was answered lately.
  bool contains(const std::string& attempt) const { return responses_.count(attempt) != 0; }
  /// The response where it is still kept, else null.
  const ProgramResponse* find(const std::string& attempt) const;
  /// Drops what is older than kResponseRetention and kAttemptIdRetention.
  void expire(TimePoint now);

 private:
  struct Answered {
    TimePoint at{};
    std::optional<ProgramResponse> response;
  };
  std::map<std::string, Answered> responses_;
};

}  // namespace mosskeel
