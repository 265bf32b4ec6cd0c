// Encodes and decodes mesh messages as CBOR maps. Short keys keep heartbeats small.
#include "core/fleet/mesh_messages.h"

namespace anvilpost {
namespace {

using nlohmann::json;

/// Encodes a member as an array in field order, without keys: members make up most of the mesh traffic.
json to_json(const member& value)
{
    return json::array({value.name_, value.incarnation_, value.data_centre_, value.mesh_ip_, value.mesh_port_,
                        value.admin_ip_, value.admin_port_, value.heartbeat_, value.revision_,
                        value.stopping_});
}

member member_from(const json& value)
{
    return {value.at(0).get<std::string>(),   value.at(1).get<std::uint64_t>(),
            value.at(2).get<std::string>(),   value.at(3).get<std::string>(),
            value.at(4).get<std::uint16_t>(), value.at(5).get<std::string>(),
            value.at(6).get<std::uint16_t>(), value.at(7).get<std::uint64_t>(),
            value.at(8).get<std::uint64_t>(), value.at(9).get<bool>()};
}

struct encoder {
    json operator()(const challenge_message& m) const { return {{"t", "challenge"}, {"nonce", m.nonce_}}; }
    json operator()(const hello_message& m) const
    {
        return {{"t", "hello"}, {"nonce", m.nonce_}, {"proof", m.proof_}, {"from", to_json(m.sender_)}};
    }
    json operator()(const welcome_message& m) const
    {
        return {{"t", "welcome"}, {"proof", m.proof_}, {"from", to_json(m.sender_)}};
    }
    json operator()(const heartbeat_message& m) const
    {
        json members = json::array();
        for (const auto& entry : m.members_) {
            members.push_back(to_json(entry));
        }
        return {{"t", "heartbeat"}, {"m", members}};
    }
    json operator()(const configuration_request_message& m) const
    {
        return {{"t", "want"}, {"newer_than", m.newer_than_}};
    }
    json operator()(const configuration_message& m) const
    {
        return {{"t", "configuration"}, {"doc", m.document_}};
    }
    json operator()(const leaving_message& m) const
    {
        return {
            {"t", "leaving"}, {"service", m.service_}, {"upstream", m.upstream_}, {"inc", m.incarnation_}};
    }
    json operator()(const strike_message& m) const
    {
        return {{"t", "strike"}, {"print", m.fingerprint_}, {"upstream", m.upstream_}};
    }
    json operator()(const probe_result_message& m) const
    {
        return {
            {"t", "finding"}, {"service", m.service_}, {"upstream", m.upstream_}, {"healthy", m.healthy_}};
    }
};

std::vector<member> members_from(const json& list)
{
    std::vector<member> members;
    for (const auto& entry : list) {
        members.push_back(member_from(entry));
    }
    return members;
}

mesh_message parse(const json& m)
{
    const auto type = m.at("t").get<std::string>();
    if (type == "challenge") {
        return challenge_message{m.at("nonce").get<std::string>()};
    }
    if (type == "hello") {
        return hello_message{m.at("nonce").get<std::string>(), m.at("proof").get<std::string>(),
                             member_from(m.at("from"))};
    }
    if (type == "welcome") {
        return welcome_message{m.at("proof").get<std::string>(), member_from(m.at("from"))};
    }
    if (type == "heartbeat") {
        return heartbeat_message{members_from(m.at("m"))};
    }
    if (type == "want") {
        return configuration_request_message{m.at("newer_than").get<std::uint64_t>()};
    }
    if (type == "configuration") {
        return configuration_message{m.at("doc")};
    }
    if (type == "leaving") {
        return leaving_message{m.at("service").get<std::string>(), m.at("upstream").get<std::string>(),
                               m.at("inc").get<std::string>()};
    }
    if (type == "strike") {
        return strike_message{m.at("print").get<std::uint64_t>(), m.at("upstream").get<std::string>()};
    }
    if (type == "finding") {
        return probe_result_message{m.at("service").get<std::string>(), m.at("upstream").get<std::string>(),
                                    m.at("healthy").get<bool>()};
    }
    throw std::runtime_error("unknown message type");
}

} // namespace

std::string encode(const mesh_message& message)
{
    json document = std::visit(encoder{}, message);
    document["v"] = mesh_version;
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

std::optional<mesh_message> decode_mesh_message(const std::string& bytes)
{
    const auto document = json::from_cbor(bytes, true, false);
    if (!document.is_object() || document.value("v", json()) != mesh_version) {
        return std::nullopt;
    }
    try {
        return parse(document);
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace anvilpost
