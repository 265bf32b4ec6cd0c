// The sub-command `check`: checks a configuration file, and compares it with the one in force on a node.
#pragma once

#include "ctl/node_client.h"

#include <optional>
#include <string>

namespace anvilpost {

/// Checks the file and prints the findings, as text or JSON. With `node`, also what differs from the
/// configuration that this node has. Returns 0 for no warnings and errors, 1 for warnings, 2 for errors, also
/// when the file cannot be read or the node does not answer.
int check_file(const std::string& file, node_client* node, bool as_json);

} // namespace anvilpost
