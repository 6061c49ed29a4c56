#pragma once

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config/document_translator.hpp>
#include <rattanbay/config/environment_document.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// Builds an environment document from the platform's text in bounded steps. Parts whose text is the same as
/// in the previous document are taken over without being read again.
///
/// A part that cannot be read costs only itself: requests of a route that is unusable are rejected, and
/// services and accounts are left out. Limits that cannot be read stay as they were.
class relay_document_builder {
public:
    /// `previous` is the document in force; it may be null or have no relay section. The translator must
    /// outlive the builder.
    relay_document_builder(const document_translator& translator, std::string text,
                           std::shared_ptr<const environment_document> previous);

    /// Finds the parts. Must be called once before `advance`. Errors: those of `document_translator`.
    base::result<void> begin();

    /// Revision of the document; 0 before `begin`.
    std::uint64_t revision() const { return outline_.revision; }

    /// Reads parts until about `max_bytes` of text were read, and returns whether all parts have been read.
    /// Reads at least one part. Parts that are taken over count with a fraction of their size.
    bool advance(std::size_t max_bytes);

    /// The document. Requires that all parts have been read; called once.
    std::shared_ptr<const environment_document> finish();

    /// Why parts are unusable; pointers are JSON pointers into the platform's text.
    const std::vector<finding>& findings() const { return findings_; }

    std::size_t parts() const { return next_part_; }

    /// Number of parts that were taken over from the previous document.
    std::size_t reused_parts() const { return reused_parts_; }

private:
    std::size_t part_count() const;
    /// Reads the next part and returns the bytes that it counts.
    std::size_t read_part();
    std::size_t add_route(std::string_view text, std::size_t index);
    std::size_t add_account(std::string_view text, std::size_t index);
    std::size_t add_service(std::string_view text, std::size_t index);
    std::size_t add_limits(std::string_view text);
    /// Records findings of a part and returns whether there are any.
    bool report(const std::string& pointer, const std::vector<finding>& findings);

    const document_translator& translator_;
    std::shared_ptr<environment_document> document_;
    std::shared_ptr<const environment_document> previous_;
    relay_outline outline_;
    std::vector<finding> findings_;
    std::size_t next_part_ = 0;
    std::size_t reused_parts_ = 0;
};

} // namespace rattanbay::config
