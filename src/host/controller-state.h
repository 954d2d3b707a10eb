// Internal state of Controller, shared by controller.cc (control loop and configurations), headchange.cc
// (head changes) and evidence.cc (evidence during a store outage, and answers to other hosts).
#pragma once

#include "turmericwing/base/hash.h"
#include "turmericwing/host/controller.h"
#include "turmericwing/host/log.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>

namespace turmericwing::host {

namespace detail {

    /// Store contact is reported as lost this long after the last successful read.
    constexpr auto storeContactLifetime = std::chrono::seconds(1);
    constexpr auto peerRequestTimeout = std::chrono::milliseconds(400); ///< For a request to another host.

    /// Entry of a host in the view, or nullptr.
    inline const control::Member* findMember(const control::Head& head, const std::string& host)
    {
        const auto found = std::find_if(head.members_.begin(), head.members_.end(),
            [&](const control::Member& member) { return member.host_ == host; });
        return found == head.members_.end() ? nullptr : &*found;
    }

} // namespace detail

struct Controller::State {
    State(ControllerOptions options, SharedState& shared, Executor& executor)
        : options_(std::move(options))
        , shared_(shared)
        , executor_(executor)
    {
    }

    ControllerOptions options_;
    SharedState& shared_;
    Executor& executor_;
    const control::LeaseOptions leaseOptions_;
    const control::ConfigOptions configOptions_;

    mutable std::mutex mutex_; ///< Guards everything below.
    std::condition_variable wake_;
    control::ReadLease lease_;
    control::ConfigState config_;
    std::map<uint64_t, control::Head> headsByVersion_; ///< The head in force and all newer ones, by version.
    std::map<std::string, std::shared_ptr<const model::ObjectSet>> parsedSets_; ///< Parsed, by digest.
    std::map<std::string, std::string> setTexts_; ///< Source text of the parsed sets, by digest.
    Random fetchRandom_ = makeRandom();
    std::set<std::string> fetching_; ///< Digests of the fetches in progress.
    control::Head newestHead_; ///< Newest head learned.
    TimePoint lastContact_; ///< End of the last successful read of the head.
    bool hasReadHead_ = false;
    bool joining_ = false; ///< A join is being written, or another process has replaced this one.
    bool stopping_ = false;
    bool removing_ = false; ///< A removal of failed members is being written.
    /// Versions in the current snapshot, the one in force first; nonce hashes stand for candidates.
    std::vector<uint64_t> snapshotVersions_;
    bool snapshotSharesUsable_ = false; ///< Snapshot::sharesUsable_ of the current snapshot.
    bool leaseWasValid_ = false; ///< As of the last evaluation.

    std::mutex changeMutex_; ///< Serialises the head changes of this host.
    Random random_ = makeRandom(); ///< Guarded by changeMutex_.
    const control::EvidenceOptions evidenceOptions_;
    control::HeadKnowledge knowledge_;
    control::EvidenceLog evidence_;
    control::LostHostsDeclaration lostHosts_;
    control::CandidateHeads preparedCandidates_; ///< Candidates whose configuration is parsed.
    /// Candidates whose configuration is being fetched.
    std::map<std::string, control::Head> unpreparedCandidates_;
    /// Encoded candidate heads by digest, served to other hosts.
    std::map<std::string, std::string> candidateTexts_;
    /// Candidates whose restrictions apply while the lease is extended by evidence.
    std::vector<control::Candidate> candidatesInDoubt_;
    TimePoint nextProbeAt_;
    std::optional<control::Proposal> proposal_; ///< This host's head change in progress.
    std::condition_variable ackReceived_; ///< Notified after each response to a report.
    std::atomic<double> headPollCpuSeconds_ { 0 }; ///< CPU time of the thread.
    std::atomic<double> tickCpuSeconds_ { 0 };
    std::thread headPollThread_;
    std::thread tickThread_;

    void headPollLoop();
    void tickLoop();
    void pollHead();
    void tick();
    void onHeadLearned(const control::Head&, TimePoint now);
    void startFetches(TimePoint now);
    void fetch(const control::FetchAction&);
    void fetchFromHost(const std::string& host, const std::string& digest, std::string text);
    void acceptText(const std::string& digest, std::string text);
    void joinIfUnlisted();
    std::shared_ptr<const Snapshot> buildSnapshotIfChanged(const control::EffectiveHeads&);
    std::optional<Version> findVersion(const control::HeadId&) const;
    void probeMembers(TimePoint now);
    void evaluateOutageEvidence(TimePoint now);
    void requestNewerHeads(const control::LeaseExtension&);
    void storeCandidate(const std::string& digest, const std::string& text);
    void prepareCandidates();
    void fetchFromStore(const std::string& digest);
    std::vector<std::string> ackTargets(const control::Head& base) const;
    void requestAcks(const control::Head& base, const peer::Message&, bool isOutcome);
    Result<void> collectCandidateAcks(const control::Head& base, const control::Head& next);
    bool confirmOutcome(const control::Head& next);
    Result<control::Head> changeHeadWithRetries(
        const std::string& who, const std::string& what, const HeadEdit&);
    Result<std::pair<uint64_t, std::string>> newestConfiguration();
    peer::Message handleHeadRow(const peer::HeadRow&, TimePoint now);
    peer::Message handleCandidateReport(const peer::CandidateReport&);
    peer::Blob readBlobChunk(const peer::BlobRequest&) const;
};

} // namespace turmericwing::host
