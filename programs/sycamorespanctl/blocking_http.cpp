#include "programs/sycamorespanctl/blocking_http.h"

#include <curl/curl.h>

#include <memory>

namespace sycamorespan::ctl {

namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

} // namespace

std::optional<http_response> sendRequest(const std::string &baseUrl, const http_request &request,
                                         std::chrono::milliseconds timeout)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                     &curl_easy_cleanup);
    if (!handle)
        throw error("libcurl can't be initialised");
    const auto url = baseUrl + request.path;
    http_response response;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body);
    if (request.method != "GET") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, request.body.data());
    }
    if (curl_easy_perform(handle.get()) != CURLE_OK)
        return std::nullopt;
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

} // namespace sycamorespan::ctl
