#pragma once

#include <transport/http_header.h>

#include <string>

namespace orioledrum
{

/// A complete reply that an http_client received, with any status code.
struct http_reply {
    int status = 0;
    http_headers headers;
    std::string body;
};

} // namespace orioledrum
