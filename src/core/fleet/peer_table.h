// The nodes that one node knows of, and which of them live. Views differ between nodes; no safety property
// rests on them.
#pragma once

#include "ports/random_port.h"
#include "vocabulary/core_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilpost {

/// What nodes tell each other about a node. A replaced VM is a new incarnation.
struct peer {
    std::string name_;
    std::uint64_t incarnation_ = 0; ///< Differs between the starts of a node of that name.
    std::string data_centre_;
    std::string ip_;
    std::uint16_t port_ = 0;         ///< For datagrams.
    std::uint16_t control_port_ = 0; ///< For HTTP between nodes.
    std::uint32_t capacity_ = 1;     ///< Processor share in thousandths of a core.
    bool stopping_ = false;

    bool operator==(const peer&) const = default;
};

/// Identifies a lifetime of a node in messages.
std::uint64_t identity_of(const peer& who);

struct peer_table_settings {
    duration silent_after_ = std::chrono::milliseconds(500); ///< In the own data centre, where nodes hear
                                                             ///< each other directly.
    duration remote_silent_after_ = std::chrono::seconds(5); ///< Elsewhere, where word is passed on.
    duration forgotten_after_ = std::chrono::seconds(30);
};

/// Invariants: never holds this node itself; per name it holds the incarnation heard last.
class peer_table {
public:
    peer_table(peer self, const peer_table_settings& settings) : self_(std::move(self)), settings_(settings)
    {
    }

    [[nodiscard]] const peer& self() const { return self_; }
    void mark_self_stopping() { self_.stopping_ = true; }
    void set_silent_after(duration limit) { settings_.silent_after_ = limit; }

    /// A peer gave a sign of life at `heard`, directly or as another one tells. Of two incarnations the one
    /// heard later counts: the time of day, which numbers them, may have been set back between two starts.
    void hear(const peer& said, time_point heard);

    /// Drops peers that have been silent for long.
    void forget_silent(time_point now);

    [[nodiscard]] bool alive(const std::string& name, time_point now) const;

    /// True while a peer gives signs of life, also when it is stopping: it serves callers to the end and
    /// needs to know what the others know.
    [[nodiscard]] bool heard_lately(const std::string& name, time_point now) const;
    [[nodiscard]] const peer* find(const std::string& name) const;

    /// Peers known, alive or not.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Live peers of this data centre, without this node.
    [[nodiscard]] std::vector<const peer*> neighbours(time_point now) const;

    /// Peers of this data centre that want to be told of loads and changes: the live and the stopping ones.
    [[nodiscard]] std::vector<const peer*> audience(time_point now) const;

    /// Live peers of the whole fleet, without this node.
    [[nodiscard]] std::vector<const peer*> live(time_point now) const;

    /// Nodes known of this data centre, alive or silent for less than the time to forget, with this node.
    [[nodiscard]] std::size_t known_in_data_centre() const;

    /// True when this node hears more than half of the nodes known of its data centre, itself included: at
    /// most one of two separated groups can say so.
    [[nodiscard]] bool hears_majority(time_point now) const;

    /// Nodes of a data centre in the order in which they come for a duty, largest first and by rendezvous
    /// hashing among equals; with this node where it belongs.
    [[nodiscard]] std::vector<const peer*> ranked(const std::string& data_centre, const std::string& duty,
                                                  time_point now) const;

    /// Data centres with live nodes, this one included, in a fixed order.
    [[nodiscard]] std::vector<std::string> data_centres(time_point now) const;

    struct sighting {
        const peer* peer_ = nullptr;
        duration age_{};
    };

    /// Picks peers to tell others about.
    [[nodiscard]] std::vector<sighting> sample(std::size_t count, random_port& random, time_point now) const;

private:
    struct entry {
        peer peer_;
        time_point heard_{};
    };

    [[nodiscard]] bool is_heard(const entry& known, time_point now) const;
    [[nodiscard]] bool is_alive(const entry& known, time_point now) const;

    peer self_;
    peer_table_settings settings_;
    std::map<std::string, entry> entries_;
};

} // namespace anvilpost
