// Mesh agent: handshake and heartbeats on links, forwarding of notices, and the choice of links to open.
#include "core/fleet/mesh_agent.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A link on which nothing arrives for this long is closed: a little more than three heartbeat intervals,
/// which are 2 s within a data centre and 4 s between data centres.
constexpr duration silence_limit_in_data_centre = 6500ms;
constexpr duration silence_limit_between_data_centres = 13s;
constexpr duration notice_memory = 10min;
/// After this time an unanswered request for a configuration is sent again.
constexpr duration request_patience = 1s;
/// Members other than the sender that each heartbeat describes.
constexpr std::size_t others_told_in_data_centre = 2;
constexpr std::size_t others_told_between_data_centres = 1;
constexpr std::uint64_t ticks_per_heartbeat_in_data_centre = 4;
constexpr std::uint64_t ticks_per_heartbeat_between_data_centres = 8;
constexpr std::uint64_t ticks_per_seed_contact = 4;
constexpr std::size_t max_links = 64;
constexpr std::size_t max_notices = 10'000;

} // namespace

mesh_agent::mesh_agent(const clock_port& clock, random_port& random, mesh_port& port, member self,
                       mesh_handlers handlers)
    : clock_(clock), random_(random), port_(port), handlers_(std::move(handlers)),
      members_(std::move(self), {})
{
}

std::string mesh_agent::make_nonce()
{
    return std::to_string(random_.next()) + "-" + std::to_string(random_.next());
}

void mesh_agent::send(link_id link, const mesh_message& message)
{
    const std::string bytes = encode(message);
    counters_.bytes_sent_ += bytes.size();
    ++counters_.messages_sent_;
    port_.send(link, bytes);
}

void mesh_agent::on_accepted(link_id link)
{
    if (links_.size() >= max_links) {
        port_.close(link);
        return;
    }
    auto& state = links_[link];
    state.accepted_ = true;
    state.stage_ = link_stage::proving;
    state.nonce_ = make_nonce();
    state.last_heard_ = clock_.now();
    send(link, challenge_message{state.nonce_});
}

void mesh_agent::on_connected(link_id link)
{
    const auto found = links_.find(link);
    if (found != links_.end()) {
        found->second.stage_ = link_stage::proving;
        found->second.last_heard_ = clock_.now();
    }
}

void mesh_agent::on_closed(link_id link)
{
    links_.erase(link);
}

void mesh_agent::refuse(link_id link, const std::string& reason)
{
    ++counters_.links_refused_;
    handlers_.on_refused_link_(reason);
    links_.erase(link);
    port_.close(link);
}

void mesh_agent::on_message(link_id link, const std::string& bytes)
{
    const auto found = links_.find(link);
    if (found == links_.end()) {
        return;
    }
    counters_.bytes_received_ += bytes.size();
    const auto message = decode_mesh_message(bytes);
    if (!message) {
        refuse(link, "a message could not be decoded");
        return;
    }
    found->second.last_heard_ = clock_.now();
    if (found->second.stage_ == link_stage::trusted) {
        handle(link, found->second, *message);
    }
    else {
        handle_handshake(link, found->second, *message);
    }
}

/// The accepting side sends challenge, the connecting side answers with hello, the accepting side with
/// welcome. Each side proves that it knows the secret over the other's nonce; the prefixes "hello " and
/// "welcome " keep a proof from being reflected to the side that sent it.
void mesh_agent::handle_handshake(link_id link, link_state& state, const mesh_message& message)
{
    if (const auto* challenge = std::get_if<challenge_message>(&message);
        challenge != nullptr && !state.accepted_) {
        state.nonce_ = make_nonce();
        send(link,
             hello_message{state.nonce_, handlers_.prove_("hello " + challenge->nonce_), members_.self()});
        return;
    }
    if (const auto* hello = std::get_if<hello_message>(&message); hello != nullptr && state.accepted_) {
        if (hello->proof_ != handlers_.prove_("hello " + state.nonce_)) {
            refuse(link, "the peer does not know the secret");
            return;
        }
        send(link, welcome_message{handlers_.prove_("welcome " + hello->nonce_), members_.self()});
        trust(link, state, hello->sender_);
        return;
    }
    if (const auto* welcome = std::get_if<welcome_message>(&message);
        welcome != nullptr && !state.accepted_) {
        if (state.nonce_.empty() || welcome->proof_ != handlers_.prove_("welcome " + state.nonce_)) {
            refuse(link, "the peer does not know the secret");
            return;
        }
        trust(link, state, welcome->sender_);
        return;
    }
    refuse(link, "a message arrived before the handshake was complete");
}

void mesh_agent::trust(link_id link, link_state& state, const member& peer)
{
    state.stage_ = link_stage::trusted;
    state.peer_ = peer.name_;
    state.in_data_centre_ = peer.data_centre_ == members_.self().data_centre_;
    members_.hear(peer, clock_.now());
    if (close_double_link(link, state)) {
        return;
    }
    send_heartbeat(link);
    if (peer.revision_ > members_.self().revision_) {
        send(link, configuration_request_message{members_.self().revision_});
    }
}

/// When two nodes have opened links to each other, both keep the one opened by the node whose name sorts
/// first, so that they agree without a message. Of two links opened by the same node the newer one stays.
/// Returns true when it closed the given link.
bool mesh_agent::close_double_link(link_id link, const link_state& state)
{
    const bool started_by_lesser = state.accepted_ == (state.peer_ < members_.self().name_);
    for (const auto& [other, other_state] : links_) {
        if (other == link || other_state.stage_ != link_stage::trusted || other_state.peer_ != state.peer_) {
            continue;
        }
        const bool same_starter = other_state.accepted_ == state.accepted_;
        const bool keep_new = same_starter || started_by_lesser;
        const link_id losing = keep_new ? other : link;
        links_.erase(losing);
        port_.close(losing);
        return !keep_new;
    }
    return false;
}

void mesh_agent::handle(link_id link, link_state& state, const mesh_message& message)
{
    if (const auto* heartbeat = std::get_if<heartbeat_message>(&message)) {
        handle_heartbeat(link, *heartbeat);
    }
    else if (const auto* request = std::get_if<configuration_request_message>(&message)) {
        if (members_.self().revision_ > request->newer_than_) {
            send(link, configuration_message{handlers_.configuration_()});
        }
    }
    else if (const auto* configuration = std::get_if<configuration_message>(&message)) {
        handlers_.on_configuration_(configuration->document_);
    }
    else if (const auto* leaving = std::get_if<leaving_message>(&message)) {
        const auto identity =
            "leaving " + leaving->service_ + "/" + leaving->upstream_ + "/" + leaving->incarnation_;
        if (is_news(identity)) {
            handlers_.on_leaving_(*leaving);
            spread(message, identity, link);
        }
    }
    else if (const auto* strike = std::get_if<strike_message>(&message)) {
        const auto identity = "strike " + std::to_string(strike->fingerprint_) + "/" + strike->upstream_;
        if (is_news(identity)) {
            handlers_.on_strike_(*strike);
            spread(message, identity, link);
        }
    }
    else if (const auto* finding = std::get_if<finding_message>(&message)) {
        handlers_.on_finding_(*finding);
    }
    else {
        refuse(link, "a handshake message arrived on the authenticated link of " + state.peer_);
    }
}

void mesh_agent::handle_heartbeat(link_id link, const heartbeat_message& heartbeat)
{
    std::uint64_t newest = 0;
    for (const auto& told : heartbeat.members_) {
        members_.hear(told, clock_.now());
    }
    if (!heartbeat.members_.empty()) {
        newest = heartbeat.members_.front().revision_;
    }
    const bool asked_lately =
        newest <= requested_revision_ && clock_.now() - last_request_ < request_patience;
    if (newest > members_.self().revision_ && !asked_lately) {
        last_request_ = clock_.now();
        requested_revision_ = newest;
        send(link, configuration_request_message{members_.self().revision_});
    }
}

void mesh_agent::send_heartbeat(link_id link)
{
    const bool within = links_.at(link).in_data_centre_;
    const auto others = within ? others_told_in_data_centre : others_told_between_data_centres;
    send(link, heartbeat_message{members_.digest(others, random_)});
}

bool mesh_agent::is_news(const std::string& identity)
{
    if (notices_.size() >= max_notices) {
        notices_.erase(notices_.begin());
    }
    const bool first = notices_.emplace(identity, clock_.now()).second;
    return first;
}

void mesh_agent::spread(const mesh_message& message, const std::string& identity,
                        std::optional<link_id> except)
{
    notices_[identity] = clock_.now();
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::trusted && link != except) {
            send(link, message);
        }
    }
}

void mesh_agent::announce_revision(std::uint64_t revision)
{
    members_.self().revision_ = revision;
    members_.beat();
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::trusted) {
            send(link, heartbeat_message{{members_.self()}});
        }
    }
}

void mesh_agent::announce_stopping()
{
    members_.self().stopping_ = true;
    announce_revision(members_.self().revision_);
}

void mesh_agent::spread_leaving(const leaving_message& notice)
{
    const auto identity = "leaving " + notice.service_ + "/" + notice.upstream_ + "/" + notice.incarnation_;
    if (is_news(identity)) {
        spread(notice, identity, std::nullopt);
    }
}

void mesh_agent::spread_strike(const strike_message& strike)
{
    const auto identity = "strike " + std::to_string(strike.fingerprint_) + "/" + strike.upstream_;
    if (is_news(identity)) {
        spread(strike, identity, std::nullopt);
    }
}

void mesh_agent::spread_finding(const finding_message& finding)
{
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::trusted) {
            send(link, finding);
        }
    }
}

void mesh_agent::on_tick()
{
    ++ticks_;
    const auto now = clock_.now();
    members_.forget_silent(now);
    std::erase_if(notices_, [&](const auto& notice) { return now - notice.second > notice_memory; });
    drop_silent_links();
    send_due_heartbeats();
    connect_wanted();
}

/// Links between data centres carry heartbeats half as often: a fleet of the target size has many of them,
/// and the bytes that each node may send are bounded.
void mesh_agent::send_due_heartbeats()
{
    const bool due_within = ticks_ % ticks_per_heartbeat_in_data_centre == 0;
    const bool due_between = ticks_ % ticks_per_heartbeat_between_data_centres == 0;
    if (due_within) {
        members_.beat();
    }
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::trusted && (state.in_data_centre_ ? due_within : due_between)) {
            send_heartbeat(link);
        }
    }
}

/// Heartbeats go both ways, so each side detects a dead link by itself.
void mesh_agent::drop_silent_links()
{
    std::vector<link_id> silent;
    for (const auto& [link, state] : links_) {
        const auto limit =
            state.in_data_centre_ ? silence_limit_in_data_centre : silence_limit_between_data_centres;
        if (clock_.now() - state.last_heard_ > limit) {
            silent.push_back(link);
        }
    }
    for (const auto link : silent) {
        links_.erase(link);
        port_.close(link);
    }
}

void mesh_agent::connect_to(const std::string& ip, std::uint16_t port)
{
    const std::string address = ip + ":" + std::to_string(port);
    const bool own = ip == members_.self().mesh_ip_ && port == members_.self().mesh_port_;
    const bool under_way = std::any_of(links_.begin(), links_.end(),
                                       [&](const auto& entry) { return entry.second.address_ == address; });
    if (own || under_way || links_.size() >= max_links) {
        return;
    }
    auto& state = links_[port_.connect(ip, port)];
    state.address_ = address;
    state.last_heard_ = clock_.now();
}

void mesh_agent::connect_wanted()
{
    std::set<std::string> linked;
    for (const auto& [unused, state] : links_) {
        linked.insert(state.peer_);
    }
    for (const auto& wanted : members_.wanted_links(clock_.now())) {
        if (!linked.contains(wanted.name_)) {
            connect_to(wanted.mesh_ip_, wanted.mesh_port_);
        }
    }
    contact_seed();
}

/// Two groups of nodes that do not know each other would stay separate for ever, so each node regularly tries
/// a seed that is not a live member.
void mesh_agent::contact_seed()
{
    const bool due = links() == 0 || ticks_ % ticks_per_seed_contact == 0;
    if (!due || seeds_.empty()) {
        return;
    }
    const auto& seed = seeds_[random_below(random_, seeds_.size())];
    const auto live = members_.live(clock_.now());
    const bool heard_from = std::any_of(live.begin(), live.end(), [&](const member& other) {
        return other.mesh_ip_ == seed.ip_ && other.mesh_port_ == seed.port_;
    });
    if (!heard_from) {
        connect_to(seed.ip_, seed.port_);
    }
}

std::size_t mesh_agent::links() const
{
    return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto& entry) {
        return entry.second.stage_ == link_stage::trusted;
    }));
}

} // namespace anvilpost
