// Mesh agent: handshake and heartbeats on links, forwarding of notices, and the choice of links to open.
#include "core/fleet/mesh_agent.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A link on which nothing arrives for this long is closed: a little more than three heartbeat intervals,
/// which are 2 s within a data centre and 4 s between data centres.
constexpr duration link_timeout_in_data_centre = 6500ms;
constexpr duration link_timeout_between_data_centres = 13s;
constexpr duration notice_retention = 10min;
/// After this time an unanswered request for a configuration is sent again.
constexpr duration configuration_request_timeout = 1s;
/// Members other than the sender that each heartbeat describes.
constexpr std::size_t other_members_in_data_centre = 2;
constexpr std::size_t other_members_between_data_centres = 1;
constexpr std::uint64_t ticks_per_heartbeat_in_data_centre = 4;
constexpr std::uint64_t ticks_per_heartbeat_between_data_centres = 8;
constexpr std::uint64_t ticks_per_seed_contact = 4;
constexpr std::size_t max_links = 64;
constexpr std::size_t max_notices = 10'000;

} // namespace

mesh_agent::mesh_agent(const clock_port& clock, random_port& random, mesh_port& port, member self,
                       mesh_handlers handlers)
    : clock_(clock), random_(random), port_(port), handlers_(std::move(handlers)),
      members_(std::move(self), {}), seen_notices_(max_notices)
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
    state.stage_ = link_stage::authenticating;
    state.nonce_ = make_nonce();
    state.last_received_ = clock_.now();
    send(link, challenge_message{state.nonce_});
}

void mesh_agent::on_connected(link_id link)
{
    const auto found = links_.find(link);
    if (found != links_.end()) {
        found->second.stage_ = link_stage::authenticating;
        found->second.last_received_ = clock_.now();
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
    found->second.last_received_ = clock_.now();
    if (found->second.stage_ == link_stage::authenticated) {
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
        if (!handlers_.verify_("hello " + state.nonce_, hello->proof_)) {
            refuse(link, "the peer does not know the secret");
            return;
        }
        send(link, welcome_message{handlers_.prove_("welcome " + hello->nonce_), members_.self()});
        on_authenticated(link, state, hello->sender_);
        return;
    }
    if (const auto* welcome = std::get_if<welcome_message>(&message);
        welcome != nullptr && !state.accepted_) {
        if (state.nonce_.empty() || !handlers_.verify_("welcome " + state.nonce_, welcome->proof_)) {
            refuse(link, "the peer does not know the secret");
            return;
        }
        on_authenticated(link, state, welcome->sender_);
        return;
    }
    refuse(link, "a message arrived before the handshake was complete");
}

void mesh_agent::on_authenticated(link_id link, link_state& state, const member& peer)
{
    state.stage_ = link_stage::authenticated;
    state.peer_ = peer.name_;
    state.same_data_centre_ = peer.data_centre_ == members_.self().data_centre_;
    members_.merge_report(peer, clock_.now());
    if (close_duplicate_link(link, state)) {
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
bool mesh_agent::close_duplicate_link(link_id link, const link_state& state)
{
    const bool opened_by_lower_name = state.accepted_ == (state.peer_ < members_.self().name_);
    for (const auto& [other, other_state] : links_) {
        if (other == link || other_state.stage_ != link_stage::authenticated ||
            other_state.peer_ != state.peer_) {
            continue;
        }
        const bool same_opener = other_state.accepted_ == state.accepted_;
        const bool keep_new = same_opener || opened_by_lower_name;
        const link_id surplus = keep_new ? other : link;
        links_.erase(surplus);
        port_.close(surplus);
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
        const auto notice_id =
            "leaving " + leaving->service_ + "/" + leaving->upstream_ + "/" + leaving->incarnation_;
        if (seen_notices_.insert(notice_id, clock_.now())) {
            handlers_.on_leaving_(*leaving);
            broadcast_notice(message, link);
        }
    }
    else if (const auto* strike = std::get_if<strike_message>(&message)) {
        const auto notice_id = "strike " + std::to_string(strike->fingerprint_) + "/" + strike->upstream_;
        if (seen_notices_.insert(notice_id, clock_.now())) {
            handlers_.on_strike_(*strike);
            broadcast_notice(message, link);
        }
    }
    else if (const auto* probe_result = std::get_if<probe_result_message>(&message)) {
        handlers_.on_probe_result_(*probe_result);
    }
    else {
        refuse(link, "a handshake message arrived on the authenticated link of " + state.peer_);
    }
}

void mesh_agent::handle_heartbeat(link_id link, const heartbeat_message& heartbeat)
{
    std::uint64_t newest = 0;
    for (const auto& received : heartbeat.members_) {
        members_.merge_report(received, clock_.now());
    }
    if (!heartbeat.members_.empty()) {
        newest = heartbeat.members_.front().revision_;
    }
    const bool requested_recently =
        newest <= requested_revision_ && clock_.now() - last_request_ < configuration_request_timeout;
    if (newest > members_.self().revision_ && !requested_recently) {
        last_request_ = clock_.now();
        requested_revision_ = newest;
        send(link, configuration_request_message{members_.self().revision_});
    }
}

void mesh_agent::send_heartbeat(link_id link)
{
    const auto& state = links_.at(link);
    const auto others =
        state.same_data_centre_ ? other_members_in_data_centre : other_members_between_data_centres;
    send(link, heartbeat_message{members_.digest(others, state.peer_, random_)});
}

void mesh_agent::broadcast_notice(const mesh_message& message, std::optional<link_id> except)
{
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::authenticated && link != except) {
            send(link, message);
        }
    }
}

void mesh_agent::announce_revision(std::uint64_t revision)
{
    members_.self().revision_ = revision;
    members_.increment_heartbeat();
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::authenticated) {
            send(link, heartbeat_message{{members_.self()}});
        }
    }
}

void mesh_agent::announce_stopping()
{
    members_.self().stopping_ = true;
    announce_revision(members_.self().revision_);
}

void mesh_agent::broadcast_leaving(const leaving_message& notice)
{
    const auto notice_id = "leaving " + notice.service_ + "/" + notice.upstream_ + "/" + notice.incarnation_;
    if (seen_notices_.insert(notice_id, clock_.now())) {
        broadcast_notice(notice, std::nullopt);
    }
}

void mesh_agent::broadcast_strike(const strike_message& strike)
{
    const auto notice_id = "strike " + std::to_string(strike.fingerprint_) + "/" + strike.upstream_;
    if (seen_notices_.insert(notice_id, clock_.now())) {
        broadcast_notice(strike, std::nullopt);
    }
}

void mesh_agent::broadcast_probe_result(const probe_result_message& probe_result)
{
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::authenticated) {
            send(link, probe_result);
        }
    }
}

void mesh_agent::on_tick()
{
    ++ticks_;
    const auto now = clock_.now();
    members_.remove_expired(now);
    seen_notices_.remove_until(now - notice_retention);
    close_timed_out_links();
    send_due_heartbeats();
    connect_wanted();
}

/// Links between data centres carry heartbeats half as often: a fleet of the target size has many of them,
/// and the bytes that each node may send are bounded.
void mesh_agent::send_due_heartbeats()
{
    const bool due_in_data_centre = ticks_ % ticks_per_heartbeat_in_data_centre == 0;
    const bool due_between_data_centres = ticks_ % ticks_per_heartbeat_between_data_centres == 0;
    if (due_in_data_centre) {
        members_.increment_heartbeat();
    }
    for (const auto& [link, state] : links_) {
        if (state.stage_ == link_stage::authenticated &&
            (state.same_data_centre_ ? due_in_data_centre : due_between_data_centres)) {
            send_heartbeat(link);
        }
    }
}

/// Heartbeats go both ways, so each side detects a dead link by itself.
void mesh_agent::close_timed_out_links()
{
    std::vector<link_id> timed_out;
    for (const auto& [link, state] : links_) {
        const auto limit =
            state.same_data_centre_ ? link_timeout_in_data_centre : link_timeout_between_data_centres;
        if (clock_.now() - state.last_received_ > limit) {
            timed_out.push_back(link);
        }
    }
    for (const auto link : timed_out) {
        links_.erase(link);
        port_.close(link);
    }
}

void mesh_agent::connect_to(const std::string& ip, std::uint16_t port)
{
    const std::string address = ip + ":" + std::to_string(port);
    const bool is_self = ip == members_.self().mesh_ip_ && port == members_.self().mesh_port_;
    const bool already_opened = std::any_of(
        links_.begin(), links_.end(), [&](const auto& entry) { return entry.second.address_ == address; });
    if (is_self || already_opened || links_.size() >= max_links) {
        return;
    }
    auto& state = links_[port_.connect(ip, port)];
    state.address_ = address;
    state.last_received_ = clock_.now();
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
    auto known = members_.live(clock_.now());
    known.push_back(members_.self());
    auto candidates = seeds_;
    std::erase_if(candidates, [&](const mesh_seed& seed) {
        return std::any_of(known.begin(), known.end(), [&](const member& other) {
            return other.mesh_ip_ == seed.ip_ && other.mesh_port_ == seed.port_;
        });
    });
    if (!candidates.empty()) {
        const auto& seed = candidates[random_below(random_, candidates.size())];
        connect_to(seed.ip_, seed.port_);
    }
}

std::size_t mesh_agent::links() const
{
    return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto& entry) {
        return entry.second.stage_ == link_stage::authenticated;
    }));
}

} // namespace anvilpost
