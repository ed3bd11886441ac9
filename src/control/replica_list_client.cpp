#include "control/replica_list_client.hpp"

#include <curl/curl.h>

#include "control/constants.hpp"
#include "net/constants.hpp"

namespace mosskeel {
namespace {

/// Maximum size of a page; a larger body is rejected.
constexpr size_t kMaxPageBytes = kMaxHttpBodyBytes * 8;

/// libcurl's write callback: appends to the string at `context`. Returns 0 to abort a transfer that exceeds the size
/// limit.
size_t append_to_body(char* data, size_t size, size_t count, void* context) {
  auto& body = *static_cast<std::string*>(context);
  size_t bytes = size * count;
  if (body.size() + bytes > kMaxPageBytes)
    return 0;
  body.append(data, bytes);
  return bytes;
}

}  // namespace

ReplicaListClient::ReplicaListClient(const ControlProtocol& protocol, Address address)
    : protocol_(protocol),
      address_(std::move(address)),
      connection_(curl_easy_init(), [](void* connection) { curl_easy_cleanup(connection); }) {}

Result<std::vector<Replica>> ReplicaListClient::read(const std::stop_token& stop) {
  std::vector<Replica> replicas;
  std::string page_token;
  for (size_t i = 0; i < kReplicaListMaxPages && !stop.stop_requested(); ++i) {
    auto text = fetch(protocol_.replica_list_path(page_token));
    if (!text.ok())
      return text.errors();
    auto page = protocol_.parse_replica_list_page(text.value());
    if (!page.ok())
      return page.errors();
    replicas.insert(replicas.end(), page.value().replicas.begin(), page.value().replicas.end());
    page_token = page.value().next_page_token;
    if (page_token.empty())
      return replicas;
  }
  return Errors{{"replica list", "has more than " + std::to_string(kReplicaListMaxPages) + " pages"}};
}

Result<std::string> ReplicaListClient::fetch(const std::string& path) {
  const std::string url = "http://" + address_ + path;
  std::string body;
  auto* connection = static_cast<CURL*>(connection_.get());
  curl_easy_setopt(connection, CURLOPT_URL, url.c_str());
  curl_easy_setopt(connection, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(connection, CURLOPT_PROXY, "");
  curl_easy_setopt(connection, CURLOPT_TIMEOUT_MS, static_cast<long>(kReplicaListPageTimeout.count()));
  curl_easy_setopt(connection, CURLOPT_WRITEFUNCTION, append_to_body);
  curl_easy_setopt(connection, CURLOPT_WRITEDATA, &body);
  auto result = curl_easy_perform(connection);
  if (result != CURLE_OK)
    return Errors{{url, curl_easy_strerror(result)}};
  long status = 0;
  curl_easy_getinfo(connection, CURLINFO_RESPONSE_CODE, &status);
  if (status != 200)
    return Errors{{url, "status " + std::to_string(status)}};
  return body;
}

}  // namespace mosskeel
