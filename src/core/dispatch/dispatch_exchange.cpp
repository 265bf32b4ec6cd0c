// Routes messages between this node's client and dispatcher and those of other nodes.
#include "core/dispatch/dispatch_exchange.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

constexpr duration selection_period = 100ms;

/// Records of one kind in a datagram, so that it stays below the usual 1,500 bytes of a packet.
constexpr std::size_t max_records = 30;

/// After a longer pause than this since the last tick, this node was frozen or had no processor time. What it
/// finds in its socket then was sent before, and its senders have turned to others.
constexpr duration max_tick_gap = 100ms;

/// Nodes that have introduced themselves and are not in the peer table yet.
constexpr std::size_t max_introduced = 1'000;

/// Moves up to `max_records` from the front of one list to another.
template <class Record>
void move_some(std::vector<Record>& from, std::vector<Record>& to)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(from.size(), max_records));
    to.assign(std::make_move_iterator(from.begin()), std::make_move_iterator(from.begin() + count));
    from.erase(from.begin(), from.begin() + count);
}

bool is_empty(const dispatch_message& message)
{
    return message.requests_.empty() && message.releases_.empty() && message.renewals_.empty() &&
           message.answers_.empty();
}

} // namespace

dispatch_exchange::dispatch_exchange(const dispatch_exchange_ports& ports, std::size_t from_nodes)
    : ports_(ports), from_nodes_(from_nodes), selection_(ports.peers_, from_nodes),
      dispatcher_(ports.clock_, ports.random_, outbox_),
      client_(ports.clock_, ports.random_, ports.engine_, outbox_)
{
    if (from_nodes_ == 0) {
        return;
    }
    outbox_.on_first_ = [this] {
        if (on_flush_due_) {
            on_flush_due_();
        }
    };
    dispatcher_.may_grant_ = [this](const std::string& service, const std::string& upstream) {
        const auto* tracker = ports_.engine_.find_upstream(service, upstream);
        return tracker != nullptr && !tracker->gate().shares_rate(ports_.clock_.now()) &&
               !tracker->gate().obstacle(send_purpose::call, ports_.clock_.now());
    };
    dispatcher_.initial_loads_ = [this](const std::string& service) {
        const auto found = ports_.engine_.services().find(service);
        return found == ports_.engine_.services().end() ? nullptr : &found->second;
    };
    ports_.engine_.set_dispatch(this);
}

dispatch_exchange::~dispatch_exchange()
{
    if (from_nodes_ != 0) {
        ports_.engine_.set_dispatch(nullptr);
    }
}

void dispatch_exchange::on_configuration(const configuration& effective)
{
    if (from_nodes_ == 0) {
        return;
    }
    const auto before = std::move(services_);
    services_.clear();
    for (const auto& [name, service] : effective.services_) {
        if (service.policy_.picker_ == picker_kind::earliest_finish) {
            services_.push_back(name);
        }
    }
    for (const auto& name : before) {
        client_.set_dispatchers(name, {});
    }
    dispatcher_.on_configuration(effective);
    client_.on_configuration(effective);
    next_selection_ = {};
    on_tick();
}

void dispatch_exchange::on_tick()
{
    const auto now = ports_.clock_.now();
    last_tick_ = now;
    if (from_nodes_ == 0 || now < next_selection_) {
        return;
    }
    next_selection_ = now + selection_period;
    selection_.update(services_, now);
    for (const auto& service : services_) {
        client_.set_dispatchers(service, selection_.ranked(service));
    }
}

bool dispatch_exchange::on_datagram(const std::string& bytes)
{
    if (!is_dispatch_message(bytes)) {
        return false;
    }
    const auto message = from_nodes_ == 0 ? std::nullopt : decode_dispatch_message(bytes);
    if (!message) {
        ++counters_.unreadable_;
        return true;
    }
    ++counters_.messages_received_;
    if (ports_.clock_.now() - last_tick_ > max_tick_gap) {
        ++counters_.stale_;
        return true;
    }
    handle(*message);
    return true;
}

void dispatch_exchange::handle(const dispatch_message& message)
{
    if (message.address_ && message.sender_ != ports_.peers_.self().name_) {
        // The peer table takes over what it knows itself.
        std::erase_if(introduced_,
                      [&](const auto& entry) { return ports_.peers_.find(entry.first) != nullptr; });
        if (introduced_.size() < max_introduced) {
            introduced_[message.sender_] = *message.address_;
        }
    }
    // Without the sender's address there is no way to answer; it will turn to another node.
    if (const auto sender = address_of(message.sender_)) {
        dispatcher_.on_message(message, sender->data_centre_);
        client_.on_message(message);
    }
}

std::optional<sender_address> dispatch_exchange::address_of(const std::string& node) const
{
    const auto& self = ports_.peers_.self();
    if (const auto* known = node == self.name_ ? &self : ports_.peers_.find(node)) {
        return sender_address{known->ip_, known->port_, known->data_centre_};
    }
    const auto found = introduced_.find(node);
    return found == introduced_.end() ? std::nullopt : std::optional(found->second);
}

void dispatch_exchange::flush()
{
    while (!outbox_.empty()) {
        for (auto& [to, message] : outbox_.take()) {
            message.sender_ = ports_.peers_.self().name_;
            deliver(to, std::move(message));
        }
    }
}

void dispatch_exchange::deliver(const std::string& to, dispatch_message message)
{
    if (to == ports_.peers_.self().name_) {
        handle(message);
        return;
    }
    const auto receiver = address_of(to);
    if (!receiver) {
        return;
    }
    if (!message.requests_.empty() && !client_.has_heard(to)) {
        message.address_ = address_of(message.sender_);
    }
    while (!is_empty(message)) {
        dispatch_message part{message.sender_, message.address_, {}, {}, {}, {}};
        move_some(message.requests_, part.requests_);
        move_some(message.releases_, part.releases_);
        move_some(message.renewals_, part.renewals_);
        move_some(message.answers_, part.answers_);
        const auto bytes = encode(part);
        ++counters_.messages_sent_;
        counters_.bytes_sent_ += bytes.size();
        ports_.datagrams_.send(receiver->ip_, receiver->port_, bytes);
    }
}

void dispatch_exchange::announce_stopping()
{
    if (from_nodes_ != 0) {
        dispatcher_.stop();
        next_selection_ = {};
        on_tick();
    }
}

bool dispatch_exchange::grants_slots(const std::string& service) const
{
    return client_.has_dispatcher(service);
}

void dispatch_exchange::request_slot(const call& wanted, duration work, time_point deadline,
                                     const std::set<std::string>& tried)
{
    client_.request_slot(wanted, work, deadline, tried);
}

void dispatch_exchange::on_load(const std::string& service, const std::string& upstream,
                                const load_report& report, time_point measured_at)
{
    dispatcher_.on_load(service, upstream, report, measured_at);
}

void dispatch_exchange::on_probe(const std::string& service, const std::string& upstream, bool answered,
                                 bool healthy, time_point measured_at)
{
    dispatcher_.on_probe(service, upstream, answered, healthy, measured_at);
}

std::optional<time_point> dispatch_exchange::next_wakeup() const
{
    const auto own = dispatcher_.next_wakeup();
    const auto asked = client_.next_wakeup();
    return own && asked ? std::min(own, asked) : (own ? own : asked);
}

void dispatch_exchange::on_wakeup()
{
    dispatcher_.on_wakeup();
    client_.on_wakeup();
}

} // namespace anvilpost
