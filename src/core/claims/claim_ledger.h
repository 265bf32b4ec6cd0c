// Grants each unrepeatable request to at most one call in the fleet, so that it runs at most once. A claim is
// an entry in a shard, which is one value in the platform's key-value store, and is written by
// compare-and-swap; claims that arrive while a write is in progress share the next one. Fencing depends on
// the value's version alone, not on leases or clocks. A store that came back from an older copy is recognised
// by the writes that its values list (claim_restore.cpp). docs/design/at-most-once.md gives the reasons and
// model/claims.pml the checked model.
#pragma once

#include "core/claims/claim_shard.h"
#include "ports/claim_port.h"
#include "ports/clock_port.h"
#include "ports/key_value_port.h"
#include "ports/wall_clock_port.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilpost {

struct claim_settings {
    std::size_t shards_ = 4;                     ///< Must be equal on all nodes.
    std::chrono::minutes retention_{10};         ///< Must be equal on all nodes.
    std::size_t max_shard_bytes_ = 900UL * 1024; ///< The store holds values of up to 1 MB.
    double fleet_writes_per_second_ = 240;       ///< Limit on the claim writes of all nodes together.
    /// Each node reads each shard at least this often, so that it knows what the store must still hold.
    duration audit_period_ = std::chrono::seconds(1);
    /// After a restore nothing is granted for this long, in which all nodes write again what they know: one
    /// audit period, a read and a write, each of which may take 2 s.
    duration restore_hold_ = std::chrono::seconds(5);
    /// The same after a node's first read of a shard, since it cannot tell whether that value is an older
    /// copy. Covers an audit by the nodes that can.
    duration start_hold_{};
};

/// What a restore of the store did to a shard, as found by one node.
struct shard_restore {
    std::size_t rewritten_ = 0; ///< Lost claims that this node wrote again.
    std::size_t lost_ = 0;      ///< Claims whose key another claim held: the request may have run twice.
};

struct claim_counters {
    std::uint64_t granted_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t conflicts_ = 0;
    std::uint64_t unknown_writes_ = 0; ///< Writes of unknown outcome.
    std::uint64_t restores_ = 0;       ///< Shards found to have come back from an older copy.
    std::uint64_t rewritten_ = 0;      ///< Claims written again after a restore.
    std::uint64_t lost_ = 0;           ///< Claims lost in a restore whose key another claim held then.
};

/// Invariants:
/// - at most one store operation per shard is in progress;
/// - a claim is granted only when a value that holds it was read back or its write was acknowledged;
/// - a claim whose caller was told that the request did not run stays in `abandoned_` until it is known to be
///   absent from the store and no write of this node can still add it;
/// - a value that lacks a write known to this node is used for nothing but writing again what it lacks.
class claim_ledger : public claim_port {
public:
    using decided_function = std::function<void(call_id, claim_decision)>;

    claim_ledger(key_value_port& store, const clock_port& clock, const wall_clock_port& wall_clock,
                 std::uint64_t claimant, claim_settings settings);

    /// Sets the receiver of all decisions. Must be called before the first claim.
    void on_decided(decided_function decided) { decided_ = std::move(decided); }

    void claim(call_id call, const std::string& service, const std::string& key) override;
    void release(call_id call) override;
    void keep(call_id call) override;

    /// Sets the number of nodes among which the writes per second are shared; a wrong number costs
    /// writes or latency, never safety.
    void set_nodes(std::size_t nodes) { nodes_ = std::max<std::size_t>(1, nodes); }

    /// Called once for each shard that this node found restored from an older copy, after it wrote again what
    /// the shard had lost.
    std::function<void(std::size_t shard, const shard_restore&)> on_restored_;

    /// Called when work is left that is due at `next_wakeup`.
    std::function<void()> on_work_waiting_;

    /// Returns the next instant at which `on_wakeup` must be called, if any.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    void on_wakeup();

    [[nodiscard]] const claim_counters& counters() const { return counters_; }

    /// Returns the number of claims that were given up but may still be in the store.
    [[nodiscard]] std::size_t abandoned() const;

private:
    /// A claim that is not granted yet.
    struct pending_claim {
        call_id call_{};
        claim_key key_;
        claim_id id_;
        bool answered_ = false; ///< It was decided, or its call gave up waiting.
        bool written_ = false;  ///< Was part of a write that may have taken effect.
    };

    /// A granted claim and the shard that holds it.
    struct held_claim {
        std::size_t shard_ = 0;
        claim_id id_;
    };

    /// Claims of one shard, and its read-decide-write cycle.
    struct shard_state {
        std::string store_key_;
        std::vector<pending_claim> waiting_;
        std::vector<pending_claim> in_write_;          ///< In the write in progress or of unknown outcome.
        std::set<claim_id> abandoned_;                 ///< To be removed from the store.
        bool cycle_running_ = false;                   ///< A read-decide-write cycle is in progress.
        bool write_unknown_ = false;                   ///< An earlier write may still take effect.
        int attempts_ = 0;                             ///< Of the cycle in progress.
        time_point next_write_{};                      ///< Earliest start of the next cycle.
        std::uint64_t unknown_write_base_version_ = 0; ///< Expected version of the write of unknown outcome.
        std::uint64_t known_version_ = 0;              ///< Reads below this version are stale.
        std::set<claim_id> removing_; ///< Abandoned claims that the cycle in progress removes.
        bool has_work_ = false;       ///< The cycle in progress began for more than an audit.
        time_point next_audit_{};
        time_point hold_until_{};                        ///< Nothing is granted before.
        bool known_ = false;                             ///< The shard has been read.
        std::map<claim_key, claim_entry> known_entries_; ///< Of the last value known to be in the store.
        std::optional<shard_write> last_known_write_;    ///< The newest one of that value.
        std::set<std::uint64_t> known_restores_;         ///< Writes of that value after a restore.
        claim_shard writing_;                            ///< The value of the write in progress.
        std::optional<shard_restore> restore_; ///< Set while the write in progress follows a restore.
        /// Own claims that were removed, by the minute of removal: they are removed again if a copy of the
        /// store, or another node's memory of it, brings them back.
        std::map<claim_id, std::chrono::minutes> removed_;
    };

    void start_cycle_if_due(std::size_t index);
    void on_read(std::size_t index, const stored_value& stored);
    void resolve_unknown_write(shard_state& shard, const claim_shard& value);
    bool remove_abandoned(shard_state& shard, claim_shard& value);
    bool add_waiting(shard_state& shard, claim_shard& value);
    void write(std::size_t index, claim_shard value, std::uint64_t base_version);
    void finish_cycle(shard_state& shard);
    void on_written(std::size_t index, store_status status, std::uint64_t base_version);
    void start_attempt(std::size_t index);
    void abort_cycle(shard_state& shard);
    void refuse_all(shard_state& shard);
    void resolve_claim(shard_state& shard, pending_claim& claim, claim_decision decision);
    void prune(claim_shard& value) const;
    [[nodiscard]] std::chrono::minutes oldest_kept() const;
    [[nodiscard]] bool contains_all_known(const shard_state& shard, const stored_value& stored,
                                          const claim_shard& value) const;
    void remember(shard_state& shard, const claim_shard& value);
    void write_lost_claims(std::size_t index, claim_shard value, std::uint64_t version);
    void finish_restore(std::size_t index);
    void abandon_returned_claims(shard_state& shard, const claim_shard& value);
    void note_write(claim_shard& value, bool after_restore);
    [[nodiscard]] duration write_interval() const;
    std::size_t shard_of(const claim_key& key) const { return key.high_ % shards_.size(); }

    key_value_port& store_;
    const clock_port& clock_;
    const wall_clock_port& wall_clock_;
    std::uint64_t claimant_;
    claim_settings settings_;
    decided_function decided_;
    std::vector<shard_state> shards_;
    std::unordered_map<call_id, held_claim> granted_; ///< Neither kept nor released yet.
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_write_number_ = 1;
    std::size_t nodes_ = 1;
    claim_counters counters_;
};

} // namespace anvilpost
