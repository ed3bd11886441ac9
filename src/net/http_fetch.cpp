#include "net/http_fetch.hpp"

#include "net/curl_handles.hpp"

namespace mosskeel {
namespace {

constexpr Duration kFetchConnectTimeout = 1000ms;

/// State passed to libcurl's callbacks.
struct FetchContext {
  const FetchRequest& request;
  FetchResponse response;
};

size_t on_fetched_body(char* bytes, size_t size, size_t count, void* context) {
  auto& fetch = *static_cast<FetchContext*>(context);
  std::string piece(bytes, size * count);
  fetch.response.body += piece;
  if (fetch.request.on_body) {
    fetch.request.on_body(piece);
  }
  return size * count;
}

size_t on_fetched_header(char* bytes, size_t size, size_t count, void* context) {
  std::string line(bytes, size * count);
  auto colon = line.find(':');
  if (colon == std::string::npos) {
    return line.size();
  }
  auto name = line.substr(0, colon);
  for (auto& character : name) {
    character = static_cast<char>(tolower(character));
  }
  auto first = line.find_first_not_of(' ', colon + 1);
  auto last = line.find_last_not_of("\r\n ");
  bool has_value = first != std::string::npos && last >= first;
  if (has_value) {
    static_cast<FetchContext*>(context)->response.headers[name] = line.substr(first, last - first + 1);
  }
  return line.size();
}

CurlHeaderList header_list(const FetchRequest& request) {
  CurlHeaderList list;
  append_header(list, "Expect:");
  for (const auto& [name, value] : request.headers) {
    append_header(list, (name + ": " + value).c_str());
  }
  return list;
}

}  // namespace

FetchResponse http_fetch(const FetchRequest& request) {
  FetchContext context{request, {}};
  auto headers = header_list(request);
  CurlEasyHandle handle(curl_easy_init());
  auto* easy = handle.get();
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(kFetchConnectTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
  if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_fetched_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &context);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_fetched_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &context);

  auto result = curl_easy_perform(easy);

  auto& response = context.response;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response.status);
  long sent_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  response.request_sent = sent_bytes > 0;
  response.complete = result == CURLE_OK;
  if (!response.complete) {
    response.error = curl_easy_strerror(result);
  }
  return std::move(response);
}

}  // namespace mosskeel
