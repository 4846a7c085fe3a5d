#include <wire/codec.h>

#include <wire/change_messages.h>
#include <wire/control_messages.h>
#include <wire/order_messages.h>
#include <wire/relay_messages.h>
#include <wire/search_messages.h>
#include <wire/usage_messages.h>

#include <msgpack.hpp>

#include <algorithm>

using namespace orioledrum;

MSGPACK_ADD_ENUM(orioledrum::backend_state)
MSGPACK_ADD_ENUM(orioledrum::shard_status)
MSGPACK_ADD_ENUM(orioledrum::error_code)
MSGPACK_ADD_ENUM(orioledrum::order_outcome)
MSGPACK_ADD_ENUM(orioledrum::host_state)
MSGPACK_ADD_ENUM(orioledrum::host_kind)

namespace
{

/// Calls the visitor with all fields of a message in wire order. There is one overload for each struct.
template<typename Visitor>
void visitFields(snapshot_ref &value, Visitor &&visit)
{
    visit(value.snapshot, value.layout);
}
template<typename Visitor>
void visitFields(backend_report &value, Visitor &&visit)
{
    visit(value.state, value.slotsInUse, value.slots, value.instance, value.heldSnapshots);
}
template<typename Visitor>
void visitFields(hit &value, Visitor &&visit)
{
    visit(value.id, value.score, value.text);
}
template<typename Visitor>
void visitFields(shard_call &value, Visitor &&visit)
{
    visit(value.attempt, value.backend, value.shard);
}
template<typename Visitor>
void visitFields(search_request &value, Visitor &&visit)
{
    visit(value.request, value.service, value.customer, value.snapshot, value.remaining, value.query, value.limit, value.calls);
}
template<typename Visitor>
void visitFields(relay_limits &value, Visitor &&visit)
{
    visit(value.maxConnections, value.maxColdRequestsPerSecond);
}
template<typename Visitor>
void visitFields(relay_search &value, Visitor &&visit)
{
    visit(value.request,
          value.routeName,
          value.routeHost,
          value.routePrefix,
          value.method,
          value.target,
          value.headerNames,
          value.headerValues,
          value.body,
          value.shards,
          value.shardLimits,
          value.configVersion,
          value.maxRecords,
          value.maxServers,
          value.knownServers,
          value.knownColdTimes,
          value.targetLatency,
          value.remaining,
          value.resumeTime,
          value.token);
}
template<typename Visitor>
void visitFields(relay_resume &value, Visitor &&visit)
{
    visit(value.token, value.neededShards);
}
template<typename Visitor>
void visitFields(change_pull &value, Visitor &&visit)
{
    visit(value.after, value.wait);
}
template<typename Visitor>
void visitFields(change_batch &value, Visitor &&visit)
{
    visit(value.revision, value.confirmed, value.deferRemovals, value.pages, value.listPages);
}
template<typename Visitor>
void visitFields(era_pull &value, Visitor &&visit)
{
    visit(value.era, value.pull);
}
template<typename Visitor>
void visitFields(era_batch &value, Visitor &&visit)
{
    visit(value.era, value.batch);
}
template<typename Visitor>
void visitFields(state_request &value, Visitor &&visit)
{
    visit(value.wait);
}
template<typename Visitor>
void visitFields(state_answer &value, Visitor &&visit)
{
    visit(value.era, value.batch);
}
template<typename Visitor>
void visitFields(usage_request &value, Visitor &&visit)
{
    visit(value.source, value.knownHosts, value.organisations, value.tokens);
}
template<typename Visitor>
void visitFields(usage_answer &value, Visitor &&visit)
{
    visit(value.results, value.tokens, value.retryAfter);
}
template<typename Visitor>
void visitFields(usage_takeover &value, Visitor &&visit)
{
    visit(value.organisation, value.knownHosts);
}
template<typename Visitor>
void visitFields(usage_takeover_answer &value, Visitor &&visit)
{
    visit(value.stopped, value.level, value.share, value.knownHosts);
}
template<typename Visitor>
void visitFields(relay_shard &value, Visitor &&visit)
{
    visit(value.end, value.signature, value.loadPercent);
}
template<typename Visitor>
void visitFields(relay_answer &value, Visitor &&visit)
{
    visit(value.token, value.end, value.shards, value.records, value.hedges, value.retries);
}
template<typename Visitor>
void visitFields(shard_answer &value, Visitor &&visit)
{
    visit(value.attempt,
          value.backend,
          value.shard,
          value.status,
          value.code,
          value.snapshot,
          value.hits,
          value.report,
          value.hasReport,
          value.holder,
          value.queueTime,
          value.serviceTime);
}
template<typename Visitor>
void visitFields(shard_answers &value, Visitor &&visit)
{
    visit(value.answers);
}
template<typename Visitor>
void visitFields(cancel_request &value, Visitor &&visit)
{
    visit(value.request, value.attempts);
}
template<typename Visitor>
void visitFields(order_request &value, Visitor &&visit)
{
    visit(value.ticket, value.attempt, value.service, value.customer, value.backend, value.remaining, value.body);
}
template<typename Visitor>
void visitFields(order_answer &value, Visitor &&visit)
{
    visit(value.ticket, value.attempt, value.outcome, value.code, value.message, value.body, value.holder);
}
template<typename Visitor>
void visitFields(lease_request &value, Visitor &&visit)
{
    visit(value.group, value.holder, value.incarnation, value.hostListRevision, value.sequence, value.isolated);
}
template<typename Visitor>
void visitFields(lease_answer &value, Visitor &&visit)
{
    visit(value.group, value.voter, value.sequence, value.granted, value.holder, value.hostListRevision, value.isolated);
}
template<typename Visitor>
void visitFields(lease_release &value, Visitor &&visit)
{
    visit(value.group, value.holder, value.incarnation, value.sequence);
}
template<typename Visitor>
void visitFields(lease_batch &value, Visitor &&visit)
{
    visit(value.requests, value.releases);
}
template<typename Visitor>
void visitFields(lease_batch_answer &value, Visitor &&visit)
{
    visit(value.answers);
}
template<typename Visitor>
void visitFields(member_entry &value, Visitor &&visit)
{
    visit(value.host, value.zone, value.address, value.incarnation, value.heartbeat, value.state);
}
template<typename Visitor>
void visitFields(digest &value, Visitor &&visit)
{
    visit(value.sender, value.configRevision, value.configHash, value.configConfirmedAge, value.hostListRevision, value.members);
}
template<typename Visitor>
void visitFields(host_capacity &value, Visitor &&visit)
{
    visit(value.millicores, value.usedPercent);
}
template<typename Visitor>
void visitFields(capacity_digest &value, Visitor &&visit)
{
    visit(value.base, value.sender, value.members);
}
template<typename Visitor>
void visitFields(config_pull &value, Visitor &&visit)
{
    visit(value.knownRevision);
}
template<typename Visitor>
void visitFields(config_files_message &value, Visitor &&visit)
{
    visit(value.revision, value.base, value.hash, value.files, value.removed);
}
template<typename Visitor>
void visitFields(platform_host &value, Visitor &&visit)
{
    visit(value.id, value.kind, value.zone, value.address, value.leaving);
}
template<typename Visitor>
void visitFields(host_list &value, Visitor &&visit)
{
    visit(value.revision, value.hosts);
}
template<typename Visitor>
void visitFields(host_list_pull &value, Visitor &&visit)
{
    visit(value.knownRevision);
}

struct no_op_visitor {
    template<typename... Fields>
    void operator()(Fields &...) const
    {
    }
};

template<typename T>
concept message_struct = requires(T &value)
{
    visitFields(value, no_op_visitor{});
};

} // namespace

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template<message_struct T>
    struct pack<T> {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &out, const T &value) const
        {
            // visitFields takes a mutable reference, so that one field list serves packing and unpacking. Packing does not modify
            // the message.
            visitFields(const_cast<T &>(value), [&out](auto &...fields) { // NOLINT(cppcoreguidelines-pro-type-const-cast)
                out.pack_array(sizeof...(fields));
                (out.pack(fields), ...);
            });
            return out;
        }
    };

    template<message_struct T>
    struct convert<T> {
        const msgpack::object &operator()(const msgpack::object &in, T &value) const
        {
            if (in.type != msgpack::type::ARRAY) {
                throw msgpack::type_error();
            }
            visitFields(value, [&in](auto &...fields) {
                if (in.via.array.size != sizeof...(fields)) {
                    throw msgpack::type_error();
                }
                std::size_t index = 0;
                (in.via.array.ptr[index++].convert(fields), ...);
            });
            return in;
        }
    };

    template<typename Tag>
    struct pack<strong_id<Tag>> {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &out, const strong_id<Tag> &value) const
        {
            return out.pack(value.str());
        }
    };

    template<typename Tag>
    struct convert<strong_id<Tag>> {
        const msgpack::object &operator()(const msgpack::object &in, strong_id<Tag> &value) const
        {
            value = strong_id<Tag>(in.as<std::string>());
            return in;
        }
    };

    template<>
    struct pack<std::chrono::microseconds> {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &out, const std::chrono::microseconds &value) const
        {
            return out.pack(static_cast<std::int64_t>(value.count()));
        }
    };

    template<>
    struct convert<std::chrono::microseconds> {
        const msgpack::object &operator()(const msgpack::object &in, std::chrono::microseconds &value) const
        {
            value = std::chrono::microseconds(in.as<std::int64_t>());
            return in;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace orioledrum
{

namespace
{

/// Stream for msgpack::pack that appends to a string.
class string_stream
{
public:
    explicit string_stream(std::string &out)
        : m_out(out)
    {
    }
    void write(const char *data, std::size_t size) { m_out.append(data, size); }

private:
    std::string &m_out;
};

/// Rejects a message whose arrays and maps announce more elements than it has bytes. msgpack::unpack() allocates memory for all announced
/// elements at once: five bytes could ask for 137 GB.
class element_count_visitor : public msgpack::null_visitor
{
public:
    explicit element_count_visitor(std::size_t bytes)
        : m_left(bytes)
    {
    }

    bool start_array(std::uint32_t count) { return take(count); }
    bool start_map(std::uint32_t count) { return take(std::size_t{2} * count); }

private:
    bool take(std::size_t count)
    {
        if (count > m_left) {
            return false;
        }
        m_left -= count;
        return true;
    }

    std::size_t m_left;
};

} // namespace

template<typename Message>
std::string encode(const Message &message)
{
    std::string bytes;
    string_stream stream(bytes);
    msgpack::pack(stream, message);
    return bytes;
}

template<typename Message>
expected<Message> decode(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        element_count_visitor counts(bytes.size());
        std::size_t counted = 0;
        if (!msgpack::parse(bytes.data(), bytes.size(), counted, counts)) {
            return makeError(error_code::protocolError, "decode message", "more elements than bytes, or the message is incomplete");
        }
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset);
        if (offset != bytes.size()) {
            return makeError(error_code::protocolError, "decode message", "unexpected bytes after the message");
        }
        return handle.get().template as<Message>();
    } catch (const std::exception &failure) {
        return makeError(error_code::protocolError, "decode message", std::string("malformed message: ") + failure.what());
    }
}

#define ORIOLEDRUM_INSTANTIATE_CODEC(Type)                                                                                                 \
    template std::string encode<Type>(const Type &);                                                                                       \
    template expected<Type> decode<Type>(std::string_view);

ORIOLEDRUM_INSTANTIATE_CODEC(search_request)
ORIOLEDRUM_INSTANTIATE_CODEC(shard_answers)
ORIOLEDRUM_INSTANTIATE_CODEC(cancel_request)
ORIOLEDRUM_INSTANTIATE_CODEC(order_request)
ORIOLEDRUM_INSTANTIATE_CODEC(order_answer)
ORIOLEDRUM_INSTANTIATE_CODEC(lease_batch)
ORIOLEDRUM_INSTANTIATE_CODEC(lease_batch_answer)
ORIOLEDRUM_INSTANTIATE_CODEC(digest)
ORIOLEDRUM_INSTANTIATE_CODEC(capacity_digest)
ORIOLEDRUM_INSTANTIATE_CODEC(relay_search)
ORIOLEDRUM_INSTANTIATE_CODEC(relay_answer)
ORIOLEDRUM_INSTANTIATE_CODEC(relay_resume)
ORIOLEDRUM_INSTANTIATE_CODEC(change_pull)
ORIOLEDRUM_INSTANTIATE_CODEC(change_batch)
ORIOLEDRUM_INSTANTIATE_CODEC(era_pull)
ORIOLEDRUM_INSTANTIATE_CODEC(era_batch)
ORIOLEDRUM_INSTANTIATE_CODEC(state_request)
ORIOLEDRUM_INSTANTIATE_CODEC(state_answer)
ORIOLEDRUM_INSTANTIATE_CODEC(usage_request)
ORIOLEDRUM_INSTANTIATE_CODEC(usage_answer)
ORIOLEDRUM_INSTANTIATE_CODEC(usage_takeover)
ORIOLEDRUM_INSTANTIATE_CODEC(usage_takeover_answer)
ORIOLEDRUM_INSTANTIATE_CODEC(config_pull)
ORIOLEDRUM_INSTANTIATE_CODEC(config_files_message)
ORIOLEDRUM_INSTANTIATE_CODEC(host_list)
ORIOLEDRUM_INSTANTIATE_CODEC(host_list_pull)

#undef ORIOLEDRUM_INSTANTIATE_CODEC

} // namespace orioledrum
