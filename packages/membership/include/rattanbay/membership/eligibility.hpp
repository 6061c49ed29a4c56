#pragma once

#include <rattanbay/peer/member_record.hpp>

namespace rattanbay::membership {

/// Whether a member takes requests and roles: it is live, not draining, and has a document.
inline bool is_eligible(const peer::member_record& member) {
    return member.status == peer::member_status::live && !member.draining && member.revision > 0;
}

} // namespace rattanbay::membership
