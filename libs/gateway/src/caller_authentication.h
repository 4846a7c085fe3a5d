#pragma once

#include <gateway/message_codec.h>

#include <optional>
#include <string_view>

namespace orioledrum
{

class key_digest;
class route_table;
struct route;

/// Whether a request may be served, by the key that it carries.
struct authentication {
    bool accepted = false;
    caller_identity identity; ///< For message_codec::forwardedHeaders(). Refers to the route table.
    std::string_view reason; ///< Why the request is refused, for the error message.
    std::string_view refusal; ///< The same, for the metrics.
};

/// Decides by the organisations of a route table on a request that matches one of its routes. Without organisations, every request is
/// accepted and its header fields are passed on unchanged.
[[nodiscard]] authentication authenticate(const route_table &table, const route &route, const caller_credential &credential);

/// @param key The key by which a request was accepted, if any.
/// @return True when the current table requires keys and no longer holds this one.
[[nodiscard]] bool isWithdrawn(const std::optional<key_digest> &key, const route_table &current);

} // namespace orioledrum
