#include "programs/open_requests.hpp"

#include <algorithm>

#include "programs/constants.hpp"

namespace mosskeel {

OpenRequest* OpenRequests::find(const std::string& attempt) {
  auto found = requests_.find(attempt);
  return found == requests_.end() ? nullptr : &found->second;
}

OpenRequest& OpenRequests::add(OpenRequest request) {
  auto attempt = request.request.attempt;
  return requests_.emplace(std::move(attempt), std::move(request)).first->second;
}

size_t OpenRequests::count(RequestStage stage) const {
  return count_if([stage](const OpenRequest& open) { return open.stage == stage; });
}

size_t OpenRequests::count_if(const std::function<bool(const OpenRequest&)>& matches) const {
  auto count =
      std::count_if(requests_.begin(), requests_.end(), [&](const auto& entry) { return matches(entry.second); });
  return static_cast<size_t>(count);
}

bool OpenRequests::contains_if(const std::function<bool(const OpenRequest&)>& matches) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) { return matches(entry.second); });
}

std::vector<std::string> OpenRequests::attempts() const {
  std::vector<std::string> attempts;
  for (const auto& [attempt, open] : requests_)
    attempts.push_back(attempt);
  return attempts;
}

std::vector<std::string> OpenRequests::attempts_on(const HistoryName& history) const {
  std::vector<std::string> attempts;
  for (const auto& [attempt, open] : requests_) {
    if (open.history == history && open.stage != RequestStage::forwarded)
      attempts.push_back(attempt);
  }
  return attempts;
}

void RecentResponses::remember(const ProgramResponse& response, TimePoint now) {
  responses_[response.attempt] = {now, response};
}

const ProgramResponse* RecentResponses::find(const std::string& attempt) const {
  auto found = responses_.find(attempt);
  if (found == responses_.end() || !found->second.response)
    return nullptr;
  return &*found->second.response;
}

void RecentResponses::expire(TimePoint now) {
  for (auto& [attempt, answered] : responses_) {
    if (now - answered.at > kResponseRetention)
      answered.response.reset();
  }
  std::erase_if(responses_, [now](const auto& entry) { return now - entry.second.at > kAttemptIdRetention; });
}

}  // namespace mosskeel
