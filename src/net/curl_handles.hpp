#pragma once
// Owning wrappers for libcurl handles.
#include <curl/curl.h>

#include <memory>

namespace mosskeel {

struct CurlEasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using CurlEasyHandle = std::unique_ptr<CURL, CurlEasyDeleter>;

struct CurlMultiDeleter {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
using CurlMultiHandle = std::unique_ptr<CURLM, CurlMultiDeleter>;

struct CurlListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using CurlHeaderList = std::unique_ptr<curl_slist, CurlListDeleter>;

/// Appends a header line such as "Name: value".
inline void append_header(CurlHeaderList& list, const char* line) {
  list.reset(curl_slist_append(list.release(), line));
}

}  // namespace mosskeel
