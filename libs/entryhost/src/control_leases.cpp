#include "control_plane_impl.h"

#include "worker.h"

#include <logging/component_logger.h>
#include <wire/codec.h>

#include <asio/post.hpp>

namespace orioledrum
{

namespace
{

/// Maximum time for which a call can run after it was sent under fixed shares: a deadline of at most 2 s and a grace of 250 ms.
constexpr std::chrono::milliseconds maxShareCallTime{2250};

const component_logger leaseLogger("ownership");

} // namespace

void control_plane::impl::executeActions(lease_actions actions)
{
    for (auto &action : actions) {
        std::visit(overloaded_visitor{
                       [this](send_lease_batch &send) {
                           const auto address = addressOf(send.to);
                           if (address.empty()) {
                               return;
                           }
                           peers->send(
                               address,
                               "/peer/lease",
                               encode(send.batch),
                               controlTimeout,
                               [this, to = send.to](std::string_view frame) {
                                   if (const auto answers = decode<lease_batch_answer>(frame)) {
                                       executeActions(leases.receiveAnswers(to, *answers, monotonic_clock::now()));
                                   }
                               },
                               [](const peer_stream_end &) {});
                       },
                       [this](lease_gained &gained) {
                           leaseLogger.info("lease gained", {{"group", gained.group.str()}, {"isolated", gained.isolated ? "yes" : "no"}});
                           shared.record(event_kind::leaseAcquired, gained.group.str(), gained.isolated ? "isolated" : "");
                           shared.metrics.leaseChanged("gained");
                           routingDirty = true;
                           postToPool(gained.group, [group = gained.group](backend_pool &pool) { pool.startGroup(group); });
                       },
                       [this](lease_lost &lost) {
                           leaseLogger.info("lease lost", {{"group", lost.group.str()}, {"reason", std::string(toString(lost.reason))}});
                           shared.record(event_kind::leaseLost, lost.group.str(), std::string(toString(lost.reason)));
                           shared.metrics.leaseChanged("lost");
                           routingDirty = true;
                           postToPool(lost.group, [group = lost.group](backend_pool &pool) { pool.stopGroup(group, {}); });
                       },
                       [this](handover_started &handover) {
                           // The release is recorded now, because no further call is started; the lease is held until all calls have ended.
                           shared.record(event_kind::leaseReleased, handover.group.str());
                           shared.metrics.leaseChanged("released");
                           routingDirty = true;
                           postToPool(handover.group, [this, group = handover.group](backend_pool &pool) {
                               pool.stopGroup(group, [this, group] {
                                   asio::post(context, [this, group] {
                                       executeActions(leases.callsFinished(group, monotonic_clock::now()));
                                       completeLeaveIfLeasesReleased();
                                   });
                               });
                           });
                       },
                       [this](fetch_host_list_from_host &fetch) {
                           const auto address = addressOf(fetch.from);
                           if (!address.empty()) {
                               pullHostList(address);
                           }
                       },
                       [this](shares_changed &change) {
                           leaseLogger.warning(change.inUse ? "no quorum; using fixed shares" : "no longer using fixed shares");
                           if (change.inUse) {
                               return;
                           }
                           auto drainTimer = std::make_shared<asio::steady_timer>(context, maxShareCallTime);
                           drainTimer->async_wait([this, drainTimer](const std::error_code &failure) {
                               if (!failure) {
                                   executeActions(leases.shareCallsFinished(monotonic_clock::now()));
                               }
                           });
                       },
                   },
                   action);
    }
}

void control_plane::impl::postToPool(const group_id &group, std::function<void(backend_pool &)> task)
{
    auto &target = *shared.workers[workerIndexOfGroup(group, shared.workers.size())];
    asio::post(target.context(), [&target, task = std::move(task)] { task(target.pool()); });
}

} // namespace orioledrum
