#include <spread/config_sync_machine.h>

#include "revision_history.h"
#include "service_reader.h"
#include "startup_gate.h"

#include <base/random_source.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t maxReadersPerZone = 2;
/// Minimum number of receivers of a pushed revision in this host's zone; fewer if the zone has not enough other live hosts.
constexpr std::size_t minZonePushes = 2;
/// Maximum number of receivers of a pushed revision, all zones together.
constexpr std::size_t maxPushes = 4;
constexpr std::chrono::milliseconds pullTimeout = 500ms;
constexpr int maxPullAttempts = 4;
constexpr std::size_t maxRejectedRevisions = 8;
/// Added to the age of the service's confirmation that a peer reports. Otherwise the age would lose the transit time at each
/// hop, and would stay low among hosts that are all cut off from the service.
constexpr std::chrono::milliseconds transitAllowance = 20ms;
/// Limit on the age that a peer reports, so that subtracting it from a time cannot overflow.
constexpr std::chrono::hours maxReportedAge{24 * 365};
constexpr std::string_view serviceName = "configuration service";

std::chrono::milliseconds ageOf(time_point since, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - since, time_point::duration::zero()));
}

} // namespace

std::string_view toString(config_sync_problem_kind kind)
{
    switch (kind) {
    case config_sync_problem_kind::rejected:
        return "rejected";
    case config_sync_problem_kind::olderRevision:
        return "olderRevision";
    case config_sync_problem_kind::conflictingRevision:
        return "conflictingRevision";
    case config_sync_problem_kind::hashMismatch:
        return "hashMismatch";
    }
    return "rejected";
}

struct config_sync_machine::impl {
    /// A pull that waits for its answer.
    struct outstanding_pull {
        revision_number target = 0; ///< Revision that the peer is expected to send.
        time_point sentAt;
        entry_host_id peer;
        revision_number knownRevision = 0; ///< Revision sent in the request; 0 asks for all files.
        int attempts = 1;
    };

    impl(config_sync_settings initialSettings, time_point now)
        : settings(std::move(initialSettings))
        , random(settings.seed)
        , startedAt(now)
        , history(settings.historyLength)
        , reader(settings.maxLongPollWait, random)
        , gate(now, settings.startTimeout)
    {
    }

    [[nodiscard]] revision_number revision() const { return config ? config->revision() : 0; }
    [[nodiscard]] std::uint64_t hash() const { return config ? config->hash() : 0; }

    [[nodiscard]] bool isRejected(revision_number number, std::uint64_t contentHash) const
    {
        return std::any_of(rejected.begin(), rejected.end(), [number, contentHash](const rejected_revision &entry) {
            return entry.revision == number && entry.hash == contentHash;
        });
    }

    /// Appends the actions that are due: service call, peer queries, pull retry, end of the start-up wait.
    void emitDueActions(time_point now, config_sync_actions &actions)
    {
        const bool overdue = now - serviceConfirmedAt.value_or(startedAt) > settings.fallbackReadAge;
        if (auto call = reader.startDueCall(std::max(revision(), highestServiceRejected), overdue, now)) {
            actions.emplace_back(*call);
        }
        for (auto &peer : gate.peersToQuery(now)) {
            actions.emplace_back(send_digest_action{std::move(peer)});
        }
        if (pendingPull && now - pendingPull->sentAt >= pullTimeout) {
            retryPull(now, actions);
        }
        const bool newerRevisionKnown = highestPeerRevision > revision();
        if (gate.tryOpen(config != nullptr, newerRevisionKnown, now)) {
            actions.emplace_back(start_complete_action{gate.majorityAnswered()});
        }
    }

    /// Counts a problem. Emits it unless the previous problem of its kind concerned the same revision.
    void report(report_problem_action problem, config_sync_actions &actions)
    {
        ++problemCounts[problem.kind];
        const auto last = lastReportedRevision.find(problem.kind);
        lastProblem = problem;
        if (last != lastReportedRevision.end() && last->second == problem.revision) {
            return;
        }
        lastReportedRevision[problem.kind] = problem.revision;
        actions.emplace_back(std::move(problem));
    }

    void reportConflict(revision_number number, std::string_view source, config_sync_actions &actions)
    {
        report({config_sync_problem_kind::conflictingRevision,
                number,
                std::string(source),
                "Revision " + std::to_string(number) + " has other content than the one in force; it is not applied.",
                {}},
               actions);
    }

    /// Records that a peer or the service had the same configuration at the given time.
    void recordConfirmation(time_point at) { confirmedAt = std::max(confirmedAt.value_or(at), at); }

    /// Records that at the given time the service had the same configuration, or none with a greater revision that passes the
    /// configuration check.
    void recordServiceConfirmation(time_point at)
    {
        serviceConfirmedAt = std::max(serviceConfirmedAt.value_or(at), at);
        recordConfirmation(at);
    }

    /// Picks up to `count` random hosts of `from` that are not in `excluded`, and adds them to `excluded`.
    std::vector<entry_host_id> pickRandomHosts(std::vector<entry_host_id> from, std::size_t count, std::vector<entry_host_id> &excluded)
    {
        std::vector<entry_host_id> picked;
        while (!from.empty() && picked.size() < count) {
            const auto index = random.below(from.size());
            std::swap(from[index], from.back());
            if (std::find(excluded.begin(), excluded.end(), from.back()) == excluded.end()) {
                excluded.push_back(from.back());
                picked.push_back(from.back());
            }
            from.pop_back();
        }
        return picked;
    }

    /// Pushes a revision to up to maxPushes random hosts, at least minZonePushes of them in this host's zone if possible. The
    /// peer `source` gets no push.
    void pushToPeers(const config_files_message &message, const entry_host_id &source, config_sync_actions &actions)
    {
        std::vector<entry_host_id> excluded{settings.self, source};
        auto targets = pickRandomHosts(hosts.rankedZoneHosts, minZonePushes, excluded);
        auto all = hosts.rankedZoneHosts;
        all.insert(all.end(), hosts.otherZoneHosts.begin(), hosts.otherZoneHosts.end());
        for (auto &target : pickRandomHosts(std::move(all), maxPushes - targets.size(), excluded)) {
            targets.push_back(std::move(target));
        }
        for (auto &target : targets) {
            actions.emplace_back(send_push_action{std::move(target), message});
        }
    }

    /// Checks a revision greater than the active one, applies or rejects it, and pushes it to peers
    /// unless this host had no configuration before.
    /// @param sourceName Sender as named in problem reports.
    /// @param source Peer that sent the revision; empty when it came from the service.
    /// @return True when the revision is now active.
    bool checkAndApply(revision_number number,
                       config_files newFiles,
                       std::uint64_t contentHash,
                       std::string_view sourceName,
                       const entry_host_id &source,
                       config_sync_actions &actions)
    {
        auto delta = deltaBetween(files ? *files : config_files{}, newFiles);
        const auto base = revision();
        auto loaded = loadConfiguration(newFiles, number);
        if (loaded) {
            history.append(number, delta);
            config = std::move(*loaded);
            files = std::make_shared<const config_files>(std::move(newFiles));
            actions.emplace_back(apply_configuration_action{config});
        } else {
            rejected.push_back({number, contentHash, loaded.error()});
            if (rejected.size() > maxRejectedRevisions) {
                rejected.pop_front();
            }
            report({config_sync_problem_kind::rejected,
                    number,
                    std::string(sourceName),
                    "Revision " + std::to_string(number) + " failed the check; revision " + std::to_string(base) + " stays in force.",
                    std::move(loaded.error())},
                   actions);
        }
        if (highestPeerRevision == number) {
            highestPeerRevision = 0;
        }
        // A rejected revision is pushed as well, so that every host can show why that revision is not active. The first
        // revision after a start is not pushed, because there is no base for a delta; peers learn of it from digests.
        if (base != 0) {
            pushToPeers({number, base, contentHash, std::move(delta.changed), std::move(delta.removed)}, source, actions);
        }
        return revision() == number;
    }

    /// Sends a pull, unless a pull for the same or a greater revision is outstanding.
    /// @param knownRevision Revision that this host has; 0 requests all files.
    /// @param target Revision that the peer is expected to send.
    void requestPull(const entry_host_id &from,
                     revision_number knownRevision,
                     revision_number target,
                     time_point now,
                     config_sync_actions &actions)
    {
        if (pendingPull && now - pendingPull->sentAt < pullTimeout && target <= pendingPull->target) {
            return;
        }
        pendingPull = outstanding_pull{target, now, from, knownRevision};
        actions.emplace_back(send_pull_action{from, config_pull{knownRevision}});
    }

    /// Repeats a pull that has timed out, or gives up after maxPullAttempts attempts. Waiting for the next digest instead would take
    /// a second or more.
    void retryPull(time_point now, config_sync_actions &actions)
    {
        if (pendingPull->target <= revision() || pendingPull->attempts >= maxPullAttempts) {
            pendingPull.reset();
            return;
        }
        pendingPull->sentAt = now;
        ++pendingPull->attempts;
        actions.emplace_back(send_pull_action{pendingPull->peer, config_pull{pendingPull->knownRevision}});
    }

    /// Handles the files of a push or of the answer to a pull.
    void handlePeerFiles(const entry_host_id &from, const config_files_message &message, time_point now, config_sync_actions &actions)
    {
        if (message.revision == 0 || isRejected(message.revision, message.hash)) {
            return;
        }
        if (message.revision <= revision()) {
            if (message.revision == revision() && message.hash != hash()) {
                reportConflict(message.revision, from.str(), actions);
            } else if (message.revision == revision()) {
                recordConfirmation(now);
            }
            return;
        }
        if (message.base != 0 && message.base != revision()) {
            requestPull(from, revision(), message.revision, now, actions);
            return;
        }
        const bool fullSet = message.base == 0;
        auto result = applyDelta(fullSet || !files ? config_files{} : *files, {message.files, message.removed}, message.hash);
        if (!result) {
            report({config_sync_problem_kind::hashMismatch,
                    message.revision,
                    from.str(),
                    "The files of revision " + std::to_string(message.revision) + " do not match their hash.",
                    {}},
                   actions);
            if (!fullSet) {
                pendingPull.reset();
                requestPull(from, 0, message.revision, now, actions);
            }
            return;
        }
        if (checkAndApply(message.revision, std::move(*result), message.hash, from.str(), from, actions)) {
            recordConfirmation(now);
        }
    }

    void onServiceAnswer(std::uint64_t call, revision_number number, config_files newFiles, time_point now, config_sync_actions &actions)
    {
        // The answer confirms the configuration only for the time when the call was sent, because this process may have been
        // paused before it read the answer.
        const bool outstandingCall = reader.isOutstanding(call);
        const auto at = reader.sentAt();
        const auto contentHash = hashOf(newFiles);
        auto result = service_reader::call_result::failed;
        if (number > revision()) {
            bool applied = true;
            if (!isRejected(number, contentHash)) {
                result = service_reader::call_result::newRevision;
                applied = checkAndApply(number, std::move(newFiles), contentHash, serviceName, {}, actions);
            } else {
                applied = false;
            }
            if (!applied) {
                highestServiceRejected = std::max(highestServiceRejected, number);
            }
            if (outstandingCall && config) {
                recordServiceConfirmation(at);
            }
        } else if (number == revision() && contentHash == hash()) {
            result = service_reader::call_result::unchanged;
            if (outstandingCall && config) {
                recordServiceConfirmation(at);
            }
        } else if (number == revision()) {
            reportConflict(number, serviceName, actions);
        } else {
            report({config_sync_problem_kind::olderRevision,
                    number,
                    std::string(serviceName),
                    "The service answered revision " + std::to_string(number) + ", which is older than revision "
                        + std::to_string(revision()) + " in force; it is not applied.",
                    {}},
                   actions);
        }
        reader.finishCall(call, result, now);
    }

    void onDigest(const digest &message, time_point now, config_sync_actions &actions)
    {
        const auto &from = message.sender.host;
        if (from == settings.self) {
            return;
        }
        gate.onPeerAnswer(from);
        if (message.configRevision > revision()) {
            if (!isRejected(message.configRevision, message.configHash)) {
                highestPeerRevision = std::max(highestPeerRevision, message.configRevision);
                requestPull(from, revision(), message.configRevision, now, actions);
            }
        } else if (config && message.configRevision == revision()) {
            if (message.configHash != hash()) {
                reportConflict(message.configRevision, from.str(), actions);
                return;
            }
            recordConfirmation(now);
            if (message.configConfirmedAge >= 0us) {
                const auto reported = std::min<std::chrono::microseconds>(message.configConfirmedAge, maxReportedAge);
                const auto at = now - reported - transitAllowance;
                serviceConfirmedAt = std::max(serviceConfirmedAt.value_or(at), at);
            }
        }
    }

    config_sync_settings settings;
    random_source random;
    time_point startedAt;
    config_sync_peers hosts;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const config_files> files;
    revision_history history;
    service_reader reader;
    startup_gate gate;
    std::optional<outstanding_pull> pendingPull;
    /// Greatest revision that a peer has reported and this host had not rejected then; 0 once this host has checked it.
    revision_number highestPeerRevision = 0;
    revision_number highestServiceRejected = 0; ///< Greatest rejected revision that came from the service.
    std::deque<rejected_revision> rejected;
    std::optional<time_point> confirmedAt; ///< See config_sync_machine::confirmedAt.
    std::optional<time_point> serviceConfirmedAt; ///< See config_sync_machine::serviceConfirmedAt.
    std::optional<report_problem_action> lastProblem;
    std::map<config_sync_problem_kind, revision_number> lastReportedRevision;
    std::map<config_sync_problem_kind, std::uint64_t> problemCounts;
};

config_sync_machine::config_sync_machine(config_sync_settings settings, time_point now)
    : m_impl(std::make_unique<impl>(std::move(settings), now))
{
}

config_sync_machine::~config_sync_machine() = default;

config_sync_actions config_sync_machine::setHosts(config_sync_peers hosts, time_point now)
{
    m_impl->hosts = std::move(hosts);
    const auto &ranked = m_impl->hosts.rankedZoneHosts;
    const auto &self = m_impl->settings.self;
    const auto position = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), self) - ranked.begin());
    m_impl->reader.setRole(position < std::min(maxReadersPerZone, ranked.size()), ranked.size() + m_impl->hosts.otherZoneHosts.size(), now);
    auto zonePeers = ranked;
    std::erase(zonePeers, self);
    m_impl->gate.setPeers(zonePeers, m_impl->hosts.otherZoneHosts);
    return onTick(now);
}

config_sync_actions config_sync_machine::onTick(time_point now)
{
    config_sync_actions actions;
    m_impl->emitDueActions(now, actions);
    return actions;
}

config_sync_actions config_sync_machine::onServiceAnswer(std::uint64_t call, revision_number revision, config_files files, time_point now)
{
    config_sync_actions actions;
    m_impl->onServiceAnswer(call, revision, std::move(files), now, actions);
    m_impl->emitDueActions(now, actions);
    return actions;
}

config_sync_actions config_sync_machine::onServiceUnchanged(std::uint64_t call, time_point now)
{
    config_sync_actions actions;
    if (m_impl->reader.isOutstanding(call)) {
        if (m_impl->config) {
            // The answer was sent no later than the end of the long poll; this process may have been paused since then.
            m_impl->recordServiceConfirmation(std::min(now, m_impl->reader.sentAt() + m_impl->reader.longPollWait()));
        }
        m_impl->reader.finishCall(call, service_reader::call_result::unchanged, now);
    }
    m_impl->emitDueActions(now, actions);
    return actions;
}

config_sync_actions config_sync_machine::onServiceFailed(std::uint64_t call, time_point now)
{
    config_sync_actions actions;
    m_impl->reader.finishCall(call, service_reader::call_result::failed, now);
    m_impl->emitDueActions(now, actions);
    return actions;
}

config_sync_actions config_sync_machine::onDigest(const digest &message, time_point now)
{
    config_sync_actions actions;
    m_impl->onDigest(message, now, actions);
    m_impl->emitDueActions(now, actions);
    return actions;
}

config_sync_actions config_sync_machine::onPush(const entry_host_id &from, const config_files_message &message, time_point now)
{
    config_sync_actions actions;
    m_impl->handlePeerFiles(from, message, now, actions);
    m_impl->emitDueActions(now, actions);
    return actions;
}

config_sync_actions config_sync_machine::onPullAnswer(const entry_host_id &from, const config_files_message &message, time_point now)
{
    config_sync_actions actions;
    m_impl->pendingPull.reset();
    m_impl->handlePeerFiles(from, message, now, actions);
    m_impl->emitDueActions(now, actions);
    return actions;
}

config_sync_actions config_sync_machine::onPullFailed(const entry_host_id &, time_point now)
{
    m_impl->pendingPull.reset();
    return onTick(now);
}

config_files_message config_sync_machine::answerPull(const config_pull &request) const
{
    if (!m_impl->config || request.knownRevision >= m_impl->revision()) {
        return {};
    }
    return m_impl->history.messageSince(request.knownRevision, *m_impl->files, m_impl->hash());
}

void config_sync_machine::fillDigest(digest &message, time_point now) const
{
    message.configRevision = m_impl->revision();
    message.configHash = m_impl->hash();
    message.configConfirmedAge = std::chrono::microseconds(-1);
    if (m_impl->config && m_impl->serviceConfirmedAt) {
        message.configConfirmedAge = ageOf(*m_impl->serviceConfirmedAt, now);
    }
}

std::shared_ptr<const configuration> config_sync_machine::current() const
{
    return m_impl->config;
}

std::shared_ptr<const config_files> config_sync_machine::currentFiles() const
{
    return m_impl->files;
}

bool config_sync_machine::ready() const
{
    return m_impl->gate.isOpen() && m_impl->config != nullptr;
}

std::optional<time_point> config_sync_machine::confirmedAt() const
{
    return m_impl->confirmedAt;
}

std::optional<time_point> config_sync_machine::serviceConfirmedAt() const
{
    return m_impl->serviceConfirmedAt;
}

config_sync_status config_sync_machine::status(time_point now) const
{
    config_sync_status status;
    status.revision = m_impl->revision();
    status.hash = m_impl->hash();
    status.started = m_impl->gate.isOpen();
    status.reader = m_impl->reader.isReader();
    if (m_impl->confirmedAt) {
        status.confirmationAge = ageOf(*m_impl->confirmedAt, now);
    }
    if (m_impl->serviceConfirmedAt) {
        status.serviceConfirmationAge = ageOf(*m_impl->serviceConfirmedAt, now);
    }
    const auto &rejected = m_impl->rejected;
    const auto latest =
        std::max_element(rejected.begin(), rejected.end(), [](const rejected_revision &left, const rejected_revision &right) {
            return left.revision < right.revision;
        });
    if (latest != rejected.end() && latest->revision > status.revision) {
        status.rejected = *latest;
    }
    status.lastProblem = m_impl->lastProblem;
    status.problemCounts = m_impl->problemCounts;
    status.serviceCalls = m_impl->reader.callCount();
    return status;
}

} // namespace orioledrum
