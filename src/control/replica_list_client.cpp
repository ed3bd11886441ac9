#include "control/replica_list_client.hpp"

#include <curl/curl.h>

#include <algorithm>

#include "control/constants.hpp"
#include "net/constants.hpp"

namespace mosskeel {
namespace {

/// Maximum size of all pages together, which are some 30,000 replicas; a larger list is rejected. Parsed, a page takes
/// several times its size.
constexpr size_t kMaxListBytes = kMaxHttpBodyBytes * 8;
/// Maximum size of one page.
constexpr size_t kMaxPageBytes = kMaxHttpBodyBytes * 2;

/// The page that libcurl receives.
struct Page {
  std::string body;
  size_t max_bytes = 0;
};

/// libcurl's write callback: appends to the page at `context`. Returns 0 to abort a transfer that exceeds the size
/// limit.
size_t append_to_page(char* data, size_t size, size_t count, void* context) {
  auto& page = *static_cast<Page*>(context);
  size_t bytes = size * count;
  if (page.body.size() + bytes > page.max_bytes)
    return 0;
  page.body.append(data, bytes);
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
  size_t bytes_left = kMaxListBytes;
  for (size_t i = 0; i < kReplicaListMaxPages && !stop.stop_requested(); ++i) {
    auto text = fetch(protocol_.replica_list_path(page_token), std::min(kMaxPageBytes, bytes_left));
    if (!text.ok())
      return text.errors();
    bytes_left -= text.value().size();
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

Result<std::string> ReplicaListClient::fetch(const std::string& path, size_t max_bytes) {
  const std::string url = "http://" + address_ + path;
  Page page{{}, max_bytes};
  auto* connection = static_cast<CURL*>(connection_.get());
  curl_easy_setopt(connection, CURLOPT_URL, url.c_str());
  curl_easy_setopt(connection, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(connection, CURLOPT_PROXY, "");
  curl_easy_setopt(connection, CURLOPT_TIMEOUT_MS, static_cast<long>(kReplicaListPageTimeout.count()));
  curl_easy_setopt(connection, CURLOPT_WRITEFUNCTION, append_to_page);
  curl_easy_setopt(connection, CURLOPT_WRITEDATA, &page);
  auto result = curl_easy_perform(connection);
  if (result == CURLE_WRITE_ERROR)
    return Errors{{url, "the list is larger than " + std::to_string(kMaxListBytes) + " bytes, or this page than " +
                            std::to_string(kMaxPageBytes)}};
  if (result != CURLE_OK)
    return Errors{{url, curl_easy_strerror(result)}};
  long status = 0;
  curl_easy_getinfo(connection, CURLINFO_RESPONSE_CODE, &status);
  if (status != 200)
    return Errors{{url, "status " + std::to_string(status)}};
  return std::move(page.body);
}

}  // namespace mosskeel
