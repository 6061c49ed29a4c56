#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>

namespace rattanbay::base {

/// Strongly typed string identifier; identifiers with different tags are different types.
template <class Tag> class identifier {
public:
    identifier() = default;

    explicit identifier(std::string text)
        : text_(std::move(text)) {}

    const std::string& text() const { return text_; }

    bool empty() const { return text_.empty(); }

    friend bool operator==(const identifier&, const identifier&) = default;
    friend std::strong_ordering operator<=>(const identifier&, const identifier&) = default;

    friend std::ostream& operator<<(std::ostream& out, const identifier& value) { return out << value.text_; }

private:
    std::string text_;
};

/// Name of a client account.
using account_id = identifier<struct account_tag>;
/// Name of a VM in the VM list.
using vm_id = identifier<struct vm_tag>;
/// Name of an endpoint, equal to the name of its entry in the VM list.
using endpoint_id = identifier<struct endpoint_tag>;
/// Name of a service, which is a set of replicated endpoints.
using service_name = identifier<struct service_tag>;
/// Name of a failure domain.
using failure_domain = identifier<struct failure_domain_tag>;
/// Name of a pipeline.
using pipeline_name = identifier<struct pipeline_tag>;
/// Identifier of one request, unique across all processes.
using request_id = identifier<struct request_tag>;

} // namespace rattanbay::base

template <class Tag> struct std::hash<rattanbay::base::identifier<Tag>> {
    std::size_t operator()(const rattanbay::base::identifier<Tag>& value) const noexcept {
        return std::hash<std::string>{}(value.text());
    }
};
