#include "internal/json_text.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config/relay_document_builder.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::config {

namespace {

using internal::child_pointer;

/// Fraction of its size with which a part counts that is taken over: it is hashed and looked up only.
constexpr std::size_t reuse_discount = 16;

const relay_document& section_of(const std::shared_ptr<const environment_document>& document) {
    static const relay_document none;
    return document && document->relay ? *document->relay : none;
}

} // namespace

relay_document_builder::relay_document_builder(const document_translator& translator, std::string text,
                                               std::shared_ptr<const environment_document> previous)
    : translator_(translator)
    , document_(std::make_shared<environment_document>())
    , previous_(std::move(previous)) {
    document_->text = std::move(text);
    document_->relay.emplace();
}

base::result<void> relay_document_builder::begin() {
    base::result<relay_outline> found = translator_.outline(document_->text);
    if (!found) {
        return tl::unexpected<base::error>(found.error());
    }
    outline_ = std::move(*found);
    document_->revision = outline_.revision;
    document_->max_concurrent_requests = max_concurrent_requests;
    relay_document& section = *document_->relay;
    section.keys_required = outline_.keys_required;
    section.limits = section_of(previous_).limits;
    section.routes.reserve(outline_.routes.size());
    section.routes_by_digest.reserve(outline_.routes.size());
    section.accounts_by_digest.reserve(outline_.accounts.size());
    return {};
}

std::size_t relay_document_builder::part_count() const {
    return outline_.routes.size() + outline_.services.size() + outline_.accounts.size() +
           (outline_.limits ? 1 : 0);
}

bool relay_document_builder::advance(std::size_t max_bytes) {
    std::size_t bytes = 0;
    while (next_part_ < part_count() && bytes < max_bytes) {
        bytes += read_part();
    }
    return next_part_ == part_count();
}

std::size_t relay_document_builder::read_part() {
    std::size_t index = next_part_++;
    if (index < outline_.routes.size()) {
        return add_route(outline_.routes[index], index);
    }
    index -= outline_.routes.size();
    if (index < outline_.services.size()) {
        return add_service(outline_.services[index], index);
    }
    index -= outline_.services.size();
    if (index < outline_.accounts.size()) {
        return add_account(outline_.accounts[index], index);
    }
    return add_limits(*outline_.limits);
}

std::size_t relay_document_builder::add_route(std::string_view text, std::size_t index) {
    relay_document& section = *document_->relay;
    const base::hash128 digest = base::fast_hash(text);
    const shared_parts<relay_route>& known = section_of(previous_).routes_by_digest;
    const auto it = known.find(digest);
    std::shared_ptr<const relay_route> route;
    if (it != known.end()) {
        ++reused_parts_;
        route = it->second;
    } else {
        part_reading<relay_route> read = translator_.read_route(text);
        read.value.is_usable = !report(child_pointer("/routes", index), read.findings);
        route = std::make_shared<const relay_route>(std::move(read.value));
    }
    // Without a host and a path, nothing tells which requests the route is for.
    const bool has_key = !route->host.empty() && !route->path_prefix.empty();
    if (route->is_usable || has_key) {
        section.routes.push_back(route);
    }
    if (route->is_usable) {
        // An unusable route is read and reported again with each document.
        section.routes_by_digest.emplace(digest, std::move(route));
    }
    return it != known.end() ? text.size() / reuse_discount : text.size();
}

std::size_t relay_document_builder::add_account(std::string_view text, std::size_t index) {
    relay_document& section = *document_->relay;
    const base::hash128 digest = base::fast_hash(text);
    const shared_parts<relay_account>& known = section_of(previous_).accounts_by_digest;
    const auto it = known.find(digest);
    std::shared_ptr<const relay_account> account;
    if (it != known.end()) {
        ++reused_parts_;
        account = it->second;
    } else {
        part_reading<relay_account> read = translator_.read_account(text);
        if (report(child_pointer("/accounts", index), read.findings)) {
            section.has_unusable_accounts = true;
            return text.size();
        }
        account = std::make_shared<const relay_account>(std::move(read.value));
    }
    for (const std::string& hash : account->key_hashes) {
        section.accounts_by_key_hash[hash] = account;
    }
    section.accounts_by_digest.emplace(digest, account);
    return it != known.end() ? text.size() / reuse_discount : text.size();
}

std::size_t relay_document_builder::add_service(std::string_view text, std::size_t index) {
    part_reading<relay_service> read = translator_.read_service(text);
    if (!report(child_pointer("/services", index), read.findings)) {
        const base::service_name name = read.value.name;
        document_->relay->services.insert_or_assign(name, std::move(read.value));
    }
    return text.size();
}

std::size_t relay_document_builder::add_limits(std::string_view text) {
    const part_reading<client_limits> read = translator_.read_limits(text);
    if (!report("/limits", read.findings)) {
        document_->relay->limits = read.value;
    }
    return text.size();
}

bool relay_document_builder::report(const std::string& pointer, const std::vector<finding>& findings) {
    for (const finding& row : findings) {
        findings_.push_back({pointer + row.pointer, row.message});
    }
    return !findings.empty();
}

std::shared_ptr<const environment_document> relay_document_builder::finish() {
    assert(next_part_ == part_count());
    document_->sha256 = base::sha256_hex(document_->text);
    return std::move(document_);
}

} // namespace rattanbay::config
