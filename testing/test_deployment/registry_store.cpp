// Implements the store's HTTP API, one function per call.
#include "test_deployment/registry_store.h"

#include "adapters/store/base64.h"
#include "stand_in_server.h"

#include <algorithm>

namespace anvilpost::testing {
namespace {

using nlohmann::json;

constexpr int http_ok = 200;
constexpr int http_forbidden = 403;
constexpr int http_not_found = 404;
constexpr int http_gone = 410;
constexpr int http_condition_failed = 412;

/// Small, so that most range reads span several pages.
constexpr std::size_t items_per_page = 5;

constexpr std::chrono::milliseconds min_lease_ttl{1000};

std::uint64_t parse_number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

bool is_reserved(const std::string& key)
{
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

registry_store::registry_store(event_loop& loop) : loop_(loop) {}

std::size_t registry_store::listen(const loopback_address& address)
{
    const std::size_t number = endpoints_.size();
    endpoints_.push_back(std::make_unique<endpoint>());
    endpoints_.back()->listener_ =
        std::make_unique<listener>(loop_, address.ip_, address.port_, stand_in_listener_limits(),
                                   [this, number](evhttp_request* request) { on_request(number, request); });
    return number;
}

void registry_store::set_faults(std::size_t number, const store_endpoint_faults& faults)
{
    endpoints_.at(number)->faults_ = faults;
}

void registry_store::set_faults(const store_endpoint_faults& faults)
{
    for (auto& each : endpoints_) {
        each->faults_ = faults;
    }
}

std::vector<std::string> registry_store::keys(const std::string& prefix) const
{
    std::vector<std::string> found;
    for (const auto& [key, unused] : items_) {
        if (key.starts_with(prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

void registry_store::record(const std::string& key, const item& now, bool deleted)
{
    history_.push_back({key, now.revision_, deleted, now});
}

std::uint64_t registry_store::put(const std::string& key, const std::string& value)
{
    auto& stored = items_[key];
    stored.value_ = value;
    stored.revision_ = ++revision_;
    stored.create_revision_ = stored.create_revision_ == 0 ? revision_ : stored.create_revision_;
    record(key, stored, false);
    wake_watches();
    return revision_;
}

void registry_store::erase(const std::string& key)
{
    if (items_.erase(key) > 0) {
        ++revision_;
        record(key, {"", revision_, 0, 0}, true);
        wake_watches();
    }
}

void registry_store::take_copy()
{
    copied_items_ = items_;
    copied_revision_ = revision_;
}

void registry_store::restore()
{
    ++era_;
    items_ = copied_items_;
    revision_ = copied_revision_;
    compact();
}

void registry_store::compact()
{
    history_.clear();
    compacted_to_ = revision_;
    for (const auto& call : std::vector(watches_)) {
        if (call->request_ != nullptr) {
            close_without_reply(loop_, call->request_);
        }
        release(call);
    }
}

json registry_store::describe(const std::string& key, const item& stored)
{
    return {{"key", key},
            {"value", encode_base64(stored.value_)},
            {"revision", stored.revision_},
            {"create_revision", stored.create_revision_},
            {"lease", stored.lease_}};
}

std::shared_ptr<registry_store::pending_call> registry_store::track(evhttp_request* request)
{
    auto call = std::make_shared<pending_call>();
    call->request_ = request;
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection*, void* arg) { static_cast<pending_call*>(arg)->request_ = nullptr; },
        call.get());
    return call;
}

void registry_store::release(const std::shared_ptr<pending_call>& call)
{
    if (call->request_ != nullptr) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(call->request_), nullptr, nullptr);
    }
    call->request_ = nullptr;
    std::erase(watches_, call);
    std::erase(delayed_, call);
    // This may run in the call's own timer callback, so the call is destroyed after it returns.
    loop_.defer([call] {});
}

void registry_store::on_request(std::size_t number, evhttp_request* request)
{
    auto& target = *endpoints_[number];
    target.listener_->on_request_complete(request);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era", std::to_string(era_).c_str());
    if (target.faults_.hang_) {
        return;
    }
    if (target.faults_.reset_) {
        close_without_reply(loop_, request);
        return;
    }
    if (target.faults_.refuse_with_ != 0) {
        reply(request, target.faults_.refuse_with_, "{}");
        return;
    }
    if (target.faults_.delay_ == duration{}) {
        serve(number, request);
        return;
    }
    auto call = track(request);
    call->timer_ = std::make_unique<timer>(loop_, [this, weak_call = std::weak_ptr(call), number] {
        const auto due = weak_call.lock();
        auto* open = due->request_;
        release(due);
        if (open != nullptr) {
            serve(number, open);
        }
    });
    call->timer_->start(target.faults_.delay_);
    delayed_.push_back(call);
}

void registry_store::serve(std::size_t number, evhttp_request* request)
{
    const std::string path = path_of(request);
    if (path == "/v1/kv-key") {
        read_key(request);
    }
    else if (path == "/v1/kv-range") {
        ++counters_.reads_;
        read_range(request);
    }
    else if (path == "/v1/kv-watch") {
        ++counters_.reads_;
        watch(number, request);
    }
    else if (path == "/v1/kv-txn") {
        ++counters_.writes_;
        transact(number, request);
    }
    else {
        serve_lease(request, path);
    }
}

void registry_store::read_key(evhttp_request* request) const
{
    const auto found = items_.find(query_of(request, "key"));
    if (found == items_.end()) {
        reply(request, http_not_found, json{{"store_revision", revision_}}.dump());
        return;
    }
    auto body = describe(found->first, found->second);
    body["store_revision"] = revision_;
    reply(request, http_ok, body.dump());
}

void registry_store::read_range(evhttp_request* request) const
{
    const std::string prefix = query_of(request, "path_prefix");
    const std::string after = query_of(request, "after");
    json page{{"items", json::array()}, {"has_more", false}, {"store_revision", revision_}};
    for (const auto& [key, stored] : items_) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (page["items"].size() == items_per_page) {
            page["has_more"] = true;
            break;
        }
        page["items"].push_back(describe(key, stored));
    }
    reply(request, http_ok, page.dump());
}

void registry_store::watch(std::size_t number, evhttp_request* request)
{
    auto call = track(request);
    call->prefix_ = query_of(request, "path_prefix");
    call->after_ = parse_number(query_of(request, "after"));
    call->endpoint_ = number;
    if (answer_watch(*call, false)) {
        release(call);
        return;
    }
    watches_.push_back(call);
    call->timer_ = std::make_unique<timer>(loop_, [this, weak_call = std::weak_ptr(call)] {
        const auto due = weak_call.lock();
        answer_watch(*due, true);
        release(due);
    });
    call->timer_->start(std::chrono::milliseconds(parse_number(query_of(request, "wait_ms"))));
}

/// Answers the watch if it has changes to report, if changes that it asks for have been compacted, or if its
/// wait has ended. Returns whether the watch is over: answered now, or its connection has closed.
bool registry_store::answer_watch(pending_call& call, bool wait_ended)
{
    if (call.request_ == nullptr) {
        return true;
    }
    json events = json::array();
    if (call.after_ < compacted_to_ || call.after_ > revision_) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(call.request_), nullptr, nullptr);
        reply(std::exchange(call.request_, nullptr), http_gone, "{}");
        return true;
    }
    for (const auto& each : history_) {
        const bool wanted = each.revision_ > call.after_ && each.key_.starts_with(call.prefix_);
        if (wanted && each.deleted_) {
            events.push_back({{"key", each.key_}, {"revision", each.revision_}, {"deleted", true}});
        }
        else if (wanted) {
            events.push_back(describe(each.key_, each.item_));
        }
    }
    const bool suppressed = endpoints_[call.endpoint_]->faults_.suppress_events_;
    if ((events.empty() || suppressed) && !wait_ended) {
        return false;
    }
    const auto reported_revision = suppressed ? call.after_ : revision_;
    const json body{{"events", suppressed ? json::array() : events}, {"store_revision", reported_revision}};
    evhttp_connection_set_closecb(evhttp_request_get_connection(call.request_), nullptr, nullptr);
    reply(std::exchange(call.request_, nullptr), http_ok, body.dump());
    return true;
}

void registry_store::wake_watches()
{
    for (const auto& call : std::vector(watches_)) {
        if (answer_watch(*call, false)) {
            release(call);
        }
    }
}

void registry_store::transact(std::size_t number, evhttp_request* request)
{
    const auto wanted = json::parse(body_of(request), nullptr, false);
    json failed = json::array();
    for (const auto& row : wanted.value("expect", json::array())) {
        const auto found = items_.find(row["key"].get<std::string>());
        const auto present = found == items_.end() ? 0 : found->second.revision_;
        if (present != row["revision"].get<std::uint64_t>() && present != 0) {
            failed.push_back(describe(found->first, found->second));
        }
        else if (present != row["revision"].get<std::uint64_t>()) {
            failed.push_back({{"key", row["key"]}, {"revision", 0}});
        }
    }
    if (!failed.empty()) {
        finish_write(number, request, http_condition_failed, {{"items", failed}});
        return;
    }
    for (const auto& row : wanted.value("put_items", json::array())) {
        const auto lease_id = row.value("lease", std::uint64_t{0});
        if (is_reserved(row["key"].get<std::string>())) {
            finish_write(number, request, http_forbidden, json::object());
            return;
        }
        if (lease_id != 0 && !leases_.contains(lease_id)) {
            finish_write(number, request, http_not_found, json::object());
            return;
        }
    }
    for (const auto& row : wanted.value("put_items", json::array())) {
        const auto key = row["key"].get<std::string>();
        put(key, decode_base64(row["value"].get<std::string>()).value());
        items_[key].lease_ = row.value("lease", std::uint64_t{0});
    }
    for (const auto& key : wanted.value("delete_keys", json::array())) {
        erase(key.get<std::string>());
    }
    finish_write(number, request, http_ok, {{"revision", revision_}});
}

void registry_store::finish_write(std::size_t number, evhttp_request* request, int status, const json& body)
{
    constexpr int buckets = 1000;
    const double share = endpoints_[number]->faults_.lose_responses_;
    // Multiplying by a prime spreads lost responses evenly over the writes; the store has no random source.
    if (static_cast<double>(counters_.writes_ * 7919 % buckets) < share * buckets) {
        close_without_reply(loop_, request);
        return;
    }
    reply(request, status, body.dump());
}

void registry_store::serve_lease(evhttp_request* request, const std::string& path)
{
    const std::string keep = "/v1/kv-keep/";
    const std::string end = "/v1/kv-lease-end/";
    if (path == "/v1/kv-lease") {
        ++counters_.writes_;
        grant(request);
        return;
    }
    if (path.starts_with(keep)) {
        ++counters_.renewals_;
        const auto found = leases_.find(parse_number(path.substr(keep.size())));
        if (found == leases_.end()) {
            reply(request, http_not_found, "{}");
            return;
        }
        found->second.expiry_->start(found->second.ttl_);
        const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(found->second.ttl_);
        reply(request, http_ok, json{{"ttl_ms", ttl.count()}}.dump());
        return;
    }
    if (path.starts_with(end)) {
        end_lease(parse_number(path.substr(end.size())));
        reply(request, http_ok, "{}");
        return;
    }
    reply(request, http_not_found, "{}");
}

void registry_store::grant(evhttp_request* request)
{
    const auto requested_ms = json::parse(body_of(request), nullptr, false).value("ttl_ms", 0);
    const auto ttl = std::max(min_lease_ttl, std::chrono::milliseconds(requested_ms));
    const auto number = next_lease_++;
    auto& added = leases_[number];
    added.ttl_ = ttl;
    added.expiry_ = std::make_unique<timer>(loop_, [this, number] { end_lease(number); });
    added.expiry_->start(ttl);
    reply(request, http_ok, json{{"lease", number}, {"ttl_ms", ttl.count()}}.dump());
}

void registry_store::end_lease(std::uint64_t number)
{
    const auto found = leases_.find(number);
    if (found == leases_.end()) {
        return;
    }
    // This may run in the timer's own callback, so the timer is destroyed after it returns.
    std::shared_ptr<timer> ended = std::move(found->second.expiry_);
    leases_.erase(found);
    loop_.defer([ended] {});
    std::vector<std::string> keys;
    for (const auto& [key, stored] : items_) {
        if (stored.lease_ == number) {
            keys.push_back(key);
        }
    }
    for (const auto& key : keys) {
        erase(key);
    }
}

} // namespace anvilpost::testing
