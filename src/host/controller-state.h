// State of the control loop, shared by its three parts: controller.cc (loop and configurations),
// headchange.cc (changes of the head) and evidence.cc (evidence of a store outage and answers to other
// hosts).
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

    constexpr auto contactLifetime = std::chrono::seconds(1);
    constexpr auto peerTimeout = std::chrono::milliseconds(400); ///< Of a request to another host.

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
    std::map<uint64_t, control::Head> heads_; ///< By version: the one in force and all newer ones.
    std::map<std::string, std::shared_ptr<const model::ObjectSet>> sets_; ///< Prepared, by digest.
    std::map<std::string, std::string> texts_; ///< Of the sets, by digest.
    Random fetchRandom_ = makeRandom();
    std::set<std::string> fetching_; ///< Digests with a fetch under way.
    control::Head known_;
    TimePoint lastContact_;
    bool everRead_ = false;
    bool joining_ = false;
    bool stopping_ = false;
    bool removing_ = false; ///< A removal of failed members is being written.
    std::vector<uint64_t> published_; ///< Versions in the current snapshot, the one in force first.
    bool publishedUsable_ = false;
    bool leaseWasValid_ = false;

    std::mutex changeMutex_; ///< One head change at a time on this host.
    Random random_ = makeRandom(); ///< Guarded by changeMutex_.
    const control::EvidenceOptions evidenceOptions_;
    control::Knowledge knowledge_;
    control::EvidenceLog evidence_;
    control::LostHosts lost_;
    control::CandidateHeads candidates_; ///< Prepared: the configuration is at hand.
    std::map<std::string, control::Head> unprepared_; ///< Candidates whose configuration is being fetched.
    std::map<std::string, std::string>
        candidateTexts_; ///< Encoded candidate heads by digest, for other hosts.
    std::vector<control::Candidate> inDoubt_; ///< Restrict while the lease rests on evidence.
    TimePoint nextProbe_;
    std::optional<control::Proposal> proposal_; ///< Of this host's change in progress.
    std::condition_variable acknowledged_;
    std::atomic<double> readerCpu_ { 0 }; ///< Seconds, of each control thread.
    std::atomic<double> tickerCpu_ { 0 };
    std::thread reader_;
    std::thread ticker_;

    void readLoop();
    void tickLoop();
    void readOnce();
    void tick();
    void learned(const control::Head&, TimePoint now);
    void startFetches(TimePoint now);
    void fetch(const control::FetchAction&);
    void fetchPart(const std::string& host, const std::string& digest, std::string text);
    void acceptText(const std::string& digest, std::string text);
    void maybeJoin();
    std::shared_ptr<const Snapshot> nextSnapshot(const control::Effective&);
    std::optional<Version> versionOf(const control::HeadMark&) const;
    void probeMembers(TimePoint now);
    void useEvidence(TimePoint now);
    void askForNewer(const control::Extension&);
    void takeCandidate(const std::string& digest, const std::string& text);
    void prepareCandidates();
    void fetchSet(const std::string& digest);
    std::vector<std::string> reportTargets(const control::Head& base) const;
    void sendReports(const control::Head& base, const peer::Message&, bool outcome);
    Result<void> collectAcks(const control::Head& base, const control::Head& next);
    bool confirmOutcome(const control::Head& next);
    Result<control::Head> attemptChange(const std::string& who, const std::string& what, const HeadEdit&);
    Result<std::pair<uint64_t, std::string>> newestConfiguration();
    peer::Message learnRow(const peer::HeadRow&, TimePoint now);
    peer::Message takeReport(const peer::CandidateReport&);
    peer::Blob blobPart(const peer::BlobGet&) const;
};

} // namespace turmericwing::host
