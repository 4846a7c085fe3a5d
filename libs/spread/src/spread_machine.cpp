#include <spread/spread_machine.h>

#include "revision_history.h"
#include "service_reader.h"
#include "start_fence.h"

#include <base/random_source.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t readersPerZone = 2;
constexpr std::size_t pushesInZone = 2;
constexpr std::size_t pushesInAll = 4;
constexpr std::chrono::milliseconds pullTimeout = 500ms;
constexpr int pullAttempts = 4;
constexpr std::size_t rejectedKept = 8;
/// Added to an age that a peer reports. Ages would otherwise shrink by the transit time each time they are passed on,
/// and hosts that are cut off together would keep each other fresh.
constexpr std::chrono::milliseconds transitAllowance = 20ms;
/// Bounds a peer's report so that subtracting it from a time cannot overflow.
constexpr std::chrono::hours maxReportedAge{24 * 365};
constexpr std::string_view serviceName = "configuration service";

std::chrono::milliseconds age(time_point since, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now - since, time_point::duration::zero()));
}

} // namespace

std::string_view toString(spread_problem_kind kind)
{
    switch (kind) {
    case spread_problem_kind::rejected:
        return "rejected";
    case spread_problem_kind::olderRevision:
        return "olderRevision";
    case spread_problem_kind::conflictingRevision:
        return "conflictingRevision";
    case spread_problem_kind::hashMismatch:
        return "hashMismatch";
    }
    return "rejected";
}

struct spread_machine::impl {
    struct outstanding_pull {
        revision_number target = 0;
        time_point sentAt;
        entry_host_id from;
        revision_number have = 0;
        int attempts = 1;
    };

    impl(spread_settings given, time_point now)
        : settings(std::move(given))
        , random(settings.seed)
        , startedAt(now)
        , history(settings.historyLength)
        , reader(settings.watchWait, random)
        , fence(now, settings.startTimeout)
    {
    }

    [[nodiscard]] revision_number revision() const { return value ? value->revision() : 0; }
    [[nodiscard]] std::uint64_t hash() const { return value ? value->hash() : 0; }

    [[nodiscard]] bool isRejected(revision_number number, std::uint64_t contentHash) const
    {
        return std::any_of(rejected.begin(), rejected.end(), [number, contentHash](const rejected_revision &entry) {
            return entry.revision == number && entry.hash == contentHash;
        });
    }

    /// Emits what is due because time has passed.
    void schedule(time_point now, spread_actions &actions)
    {
        const bool overdue = now - serviceConfirmed.value_or(startedAt) > settings.confirmTimeout;
        if (auto call = reader.poll(std::max(revision(), serviceRejected), overdue, now)) {
            actions.emplace_back(*call);
        }
        for (auto &peer : fence.peersToQuery(now)) {
            actions.emplace_back(send_digest_action{std::move(peer)});
        }
        if (pull && now - pull->sentAt >= pullTimeout) {
            retryPull(now, actions);
        }
        const bool behind = highestHeard > revision();
        if (fence.tryOpen(value != nullptr, behind, now)) {
            actions.emplace_back(start_complete_action{fence.majorityAnswered()});
        }
    }

    void report(report_problem_action problem, spread_actions &actions)
    {
        ++problemCounts[problem.kind];
        const auto last = lastReported.find(problem.kind);
        lastProblem = problem;
        if (last != lastReported.end() && last->second == problem.revision) {
            return;
        }
        lastReported[problem.kind] = problem.revision;
        actions.emplace_back(std::move(problem));
    }

    void reportConflict(revision_number number, std::string_view source, spread_actions &actions)
    {
        report({spread_problem_kind::conflictingRevision,
                number,
                std::string(source),
                "Revision " + std::to_string(number) + " has other content than the one in force; it is not applied.",
                {}},
               actions);
    }

    void confirmByPeer(time_point at) { confirmed = std::max(confirmed.value_or(at), at); }

    void confirmByService(time_point at)
    {
        serviceConfirmed = std::max(serviceConfirmed.value_or(at), at);
        confirmByPeer(at);
    }

    /// @return `count` random entries of `from` that are not in `taken`, which grows by them.
    std::vector<entry_host_id> pick(std::vector<entry_host_id> from, std::size_t count, std::vector<entry_host_id> &taken)
    {
        std::vector<entry_host_id> chosen;
        while (!from.empty() && chosen.size() < count) {
            const auto index = random.below(from.size());
            std::swap(from[index], from.back());
            if (std::find(taken.begin(), taken.end(), from.back()) == taken.end()) {
                taken.push_back(from.back());
                chosen.push_back(from.back());
            }
            from.pop_back();
        }
        return chosen;
    }

    void push(const config_files_message &message, const entry_host_id &source, spread_actions &actions)
    {
        std::vector<entry_host_id> taken{settings.self, source};
        auto targets = pick(hosts.zoneRanked, pushesInZone, taken);
        auto all = hosts.zoneRanked;
        all.insert(all.end(), hosts.elsewhere.begin(), hosts.elsewhere.end());
        for (auto &target : pick(std::move(all), pushesInAll - targets.size(), taken)) {
            targets.push_back(std::move(target));
        }
        for (auto &target : targets) {
            actions.emplace_back(send_push_action{std::move(target), message});
        }
    }

    /// Checks a greater revision and applies or rejects it.
    /// @return True when it is now in force.
    bool take(revision_number number,
              config_files newFiles,
              std::uint64_t contentHash,
              std::string_view sourceName,
              const entry_host_id &source,
              spread_actions &actions)
    {
        auto delta = deltaBetween(files ? *files : config_files{}, newFiles);
        const auto base = revision();
        auto loaded = loadConfiguration(newFiles, number);
        if (loaded) {
            history.append(number, delta);
            value = std::move(*loaded);
            files = std::make_shared<const config_files>(std::move(newFiles));
            actions.emplace_back(apply_configuration_action{value});
        } else {
            rejected.push_back({number, contentHash, loaded.error()});
            if (rejected.size() > rejectedKept) {
                rejected.pop_front();
            }
            report({spread_problem_kind::rejected,
                    number,
                    std::string(sourceName),
                    "Revision " + std::to_string(number) + " failed the check; revision " + std::to_string(base) + " stays in force.",
                    std::move(loaded.error())},
                   actions);
        }
        if (highestHeard == number) {
            highestHeard = 0;
        }
        // A rejected revision is pushed as well, so that every host can show why it is not in force. After a start
        // there is no earlier revision to name changes against; peers learn of the revision from digests.
        if (base != 0) {
            push({number, base, contentHash, std::move(delta.changed), std::move(delta.removed)}, source, actions);
        }
        return revision() == number;
    }

    void requestPull(const entry_host_id &from, revision_number have, revision_number target, time_point now, spread_actions &actions)
    {
        if (pull && now - pull->sentAt < pullTimeout && target <= pull->target) {
            return;
        }
        pull = outstanding_pull{target, now, from, have};
        actions.emplace_back(send_pull_action{from, config_pull{have}});
    }

    /// Repeats a pull without an answer; waiting for the next digest instead would take a second or more.
    void retryPull(time_point now, spread_actions &actions)
    {
        if (pull->target <= revision() || pull->attempts >= pullAttempts) {
            pull.reset();
            return;
        }
        pull->sentAt = now;
        ++pull->attempts;
        actions.emplace_back(send_pull_action{pull->from, config_pull{pull->have}});
    }

    void takeFromPeer(const entry_host_id &from, const config_files_message &message, time_point now, spread_actions &actions)
    {
        if (message.revision == 0 || isRejected(message.revision, message.hash)) {
            return;
        }
        if (message.revision <= revision()) {
            if (message.revision == revision() && message.hash != hash()) {
                reportConflict(message.revision, from.str(), actions);
            } else if (message.revision == revision()) {
                confirmByPeer(now);
            }
            return;
        }
        if (message.base != 0 && message.base != revision()) {
            requestPull(from, revision(), message.revision, now, actions);
            return;
        }
        const bool whole = message.base == 0;
        auto result = applyDelta(whole || !files ? config_files{} : *files, {message.files, message.removed}, message.hash);
        if (!result) {
            report({spread_problem_kind::hashMismatch,
                    message.revision,
                    from.str(),
                    "The files of revision " + std::to_string(message.revision) + " do not match their hash.",
                    {}},
                   actions);
            if (!whole) {
                pull.reset();
                requestPull(from, 0, message.revision, now, actions);
            }
            return;
        }
        if (take(message.revision, std::move(*result), message.hash, from.str(), from, actions)) {
            confirmByPeer(now);
        }
    }

    void onServiceAnswer(std::uint64_t call, revision_number number, config_files newFiles, time_point now, spread_actions &actions)
    {
        // The service's state is known for the time of sending only; the answer may have waited in a paused process.
        const bool expected = reader.isOutstanding(call);
        const auto at = reader.sentAt();
        const auto contentHash = hashOf(newFiles);
        auto result = service_reader::call_result::failed;
        if (number > revision()) {
            bool current = true;
            if (!isRejected(number, contentHash)) {
                result = service_reader::call_result::newRevision;
                current = take(number, std::move(newFiles), contentHash, serviceName, {}, actions);
            } else {
                current = false;
            }
            if (!current) {
                serviceRejected = std::max(serviceRejected, number);
            }
            if (expected && value) {
                confirmByService(at);
            }
        } else if (number == revision() && contentHash == hash()) {
            result = service_reader::call_result::unchanged;
            if (expected && value) {
                confirmByService(at);
            }
        } else if (number == revision()) {
            reportConflict(number, serviceName, actions);
        } else {
            report({spread_problem_kind::olderRevision,
                    number,
                    std::string(serviceName),
                    "The service answered revision " + std::to_string(number) + ", which is older than revision "
                        + std::to_string(revision()) + " in force; it is not applied.",
                    {}},
                   actions);
        }
        reader.finish(call, result, now);
    }

    void onDigest(const digest &message, time_point now, spread_actions &actions)
    {
        const auto &from = message.sender.host;
        if (from == settings.self) {
            return;
        }
        fence.onPeerAnswer(from);
        if (message.configRevision > revision()) {
            if (!isRejected(message.configRevision, message.configHash)) {
                highestHeard = std::max(highestHeard, message.configRevision);
                requestPull(from, revision(), message.configRevision, now, actions);
            }
        } else if (value && message.configRevision == revision()) {
            if (message.configHash != hash()) {
                reportConflict(message.configRevision, from.str(), actions);
                return;
            }
            confirmByPeer(now);
            if (message.configConfirmedAge >= 0us) {
                const auto reported = std::min<std::chrono::microseconds>(message.configConfirmedAge, maxReportedAge);
                const auto at = now - reported - transitAllowance;
                serviceConfirmed = std::max(serviceConfirmed.value_or(at), at);
            }
        }
    }

    spread_settings settings;
    random_source random;
    time_point startedAt;
    spread_hosts hosts;
    std::shared_ptr<const configuration> value;
    std::shared_ptr<const config_files> files;
    revision_history history;
    service_reader reader;
    start_fence fence;
    std::optional<outstanding_pull> pull;
    revision_number highestHeard = 0; ///< Greatest usable revision that a peer has; 0 when it is in force here.
    revision_number serviceRejected = 0; ///< Greatest rejected revision that came from the service.
    std::deque<rejected_revision> rejected;
    std::optional<time_point> confirmed;
    std::optional<time_point> serviceConfirmed;
    std::optional<report_problem_action> lastProblem;
    std::map<spread_problem_kind, revision_number> lastReported;
    std::map<spread_problem_kind, std::uint64_t> problemCounts;
};

spread_machine::spread_machine(spread_settings settings, time_point now)
    : m_impl(std::make_unique<impl>(std::move(settings), now))
{
}

spread_machine::~spread_machine() = default;

spread_actions spread_machine::setHosts(spread_hosts hosts, time_point now)
{
    m_impl->hosts = std::move(hosts);
    const auto &ranked = m_impl->hosts.zoneRanked;
    const auto &self = m_impl->settings.self;
    const auto position = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), self) - ranked.begin());
    m_impl->reader.setRole(position < std::min(readersPerZone, ranked.size()), ranked.size() + m_impl->hosts.elsewhere.size(), now);
    auto zonePeers = ranked;
    std::erase(zonePeers, self);
    m_impl->fence.setPeers(zonePeers, m_impl->hosts.elsewhere);
    return onTick(now);
}

spread_actions spread_machine::onTick(time_point now)
{
    spread_actions actions;
    m_impl->schedule(now, actions);
    return actions;
}

spread_actions spread_machine::onServiceAnswer(std::uint64_t call, revision_number revision, config_files files, time_point now)
{
    spread_actions actions;
    m_impl->onServiceAnswer(call, revision, std::move(files), now, actions);
    m_impl->schedule(now, actions);
    return actions;
}

spread_actions spread_machine::onServiceUnchanged(std::uint64_t call, time_point now)
{
    spread_actions actions;
    if (m_impl->reader.isOutstanding(call)) {
        if (m_impl->value) {
            m_impl->confirmByService(std::min(now, m_impl->reader.sentAt() + m_impl->reader.wait()));
        }
        m_impl->reader.finish(call, service_reader::call_result::unchanged, now);
    }
    m_impl->schedule(now, actions);
    return actions;
}

spread_actions spread_machine::onServiceFailed(std::uint64_t call, time_point now)
{
    spread_actions actions;
    m_impl->reader.finish(call, service_reader::call_result::failed, now);
    m_impl->schedule(now, actions);
    return actions;
}

spread_actions spread_machine::onDigest(const digest &message, time_point now)
{
    spread_actions actions;
    m_impl->onDigest(message, now, actions);
    m_impl->schedule(now, actions);
    return actions;
}

spread_actions spread_machine::onPush(const entry_host_id &from, const config_files_message &message, time_point now)
{
    spread_actions actions;
    m_impl->takeFromPeer(from, message, now, actions);
    m_impl->schedule(now, actions);
    return actions;
}

spread_actions spread_machine::onPullAnswer(const entry_host_id &from, const config_files_message &message, time_point now)
{
    spread_actions actions;
    m_impl->pull.reset();
    m_impl->takeFromPeer(from, message, now, actions);
    m_impl->schedule(now, actions);
    return actions;
}

spread_actions spread_machine::onPullFailed(const entry_host_id &, time_point now)
{
    m_impl->pull.reset();
    return onTick(now);
}

config_files_message spread_machine::answerPull(const config_pull &request) const
{
    if (!m_impl->value || request.have >= m_impl->revision()) {
        return {};
    }
    return m_impl->history.messageSince(request.have, *m_impl->files, m_impl->hash());
}

void spread_machine::fillDigest(digest &message, time_point now) const
{
    message.configRevision = m_impl->revision();
    message.configHash = m_impl->hash();
    message.configConfirmedAge = std::chrono::microseconds(-1);
    if (m_impl->value && m_impl->serviceConfirmed) {
        message.configConfirmedAge = age(*m_impl->serviceConfirmed, now);
    }
}

std::shared_ptr<const configuration> spread_machine::current() const
{
    return m_impl->value;
}

std::shared_ptr<const config_files> spread_machine::currentFiles() const
{
    return m_impl->files;
}

bool spread_machine::ready() const
{
    return m_impl->fence.isOpen() && m_impl->value != nullptr;
}

std::optional<time_point> spread_machine::confirmedAt() const
{
    return m_impl->confirmed;
}

std::optional<time_point> spread_machine::serviceConfirmedAt() const
{
    return m_impl->serviceConfirmed;
}

spread_status spread_machine::status(time_point now) const
{
    spread_status status;
    status.revision = m_impl->revision();
    status.hash = m_impl->hash();
    status.started = m_impl->fence.isOpen();
    status.reader = m_impl->reader.isReader();
    if (m_impl->confirmed) {
        status.confirmationAge = age(*m_impl->confirmed, now);
    }
    if (m_impl->serviceConfirmed) {
        status.serviceAge = age(*m_impl->serviceConfirmed, now);
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
