#pragma once

#include "Relay/GroupMembership.h"

#include <optional>
#include <string>
#include <string_view>

namespace Nutmegrill {

/// Message of an entry that asks an agent for the group of its backend server; the answer goes to
/// \a replyAddress.
std::string encodeGroupQuery(const std::string &replyAddress);
/// The reply address; nullopt if the bytes are no query.
std::optional<std::string> decodeGroupQuery(std::string_view bytes);

std::string encodeGroupMembership(const GroupMembership &membership);
std::optional<GroupMembership> decodeGroupMembership(std::string_view bytes);

} // namespace Nutmegrill
