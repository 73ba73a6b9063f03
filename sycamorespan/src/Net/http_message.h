#ifndef SYCAMORESPAN_NET_HTTP_MESSAGE_H
#define SYCAMORESPAN_NET_HTTP_MESSAGE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sycamorespan {

/** \brief HTTP request that a server has received or that a client sends. */
struct http_request
{
    std::string method;
    /** Path and query in the form of the request line. */
    std::string path;
    std::string body;
    /** Additional header fields. Set only in requests that a client sends. */
    std::vector<std::pair<std::string, std::string>> headers = {};
};

/** \brief Answer to an http_request. */
struct http_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    /** Header fields, with names in lower case. Set only in answers that a client receives. */
    std::map<std::string, std::string> headers = {};
};

inline bool operator==(const http_request &left, const http_request &right)
{
    return left.method == right.method && left.path == right.path && left.body == right.body
           && left.headers == right.headers;
}

inline bool operator==(const http_response &left, const http_response &right)
{
    return left.status == right.status && left.contentType == right.contentType
           && left.body == right.body;
}

} // namespace sycamorespan

#endif
