#pragma once

#include <rattanbay/config/document_object.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/config/finding.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rattanbay::config {

/// The offered document is now in force.
struct document_adopted {
    std::shared_ptr<const environment_document> document;
};

/// The offered document is already in force or older than the one in force.
struct document_ignored {};

/// The offered document is invalid; the one in force is kept.
struct document_rejected {
    /// Revision stated by the sender; 0 if the object could not be parsed.
    std::uint64_t revision = 0;
    /// Human-readable reason.
    std::string reason;
    /// Validation errors in the content.
    std::vector<finding> findings;
    /// Whether the previous rejection was identical, so that it need not be logged again.
    bool repeated = false;
};

using adoption_result = std::variant<document_adopted, document_ignored, document_rejected>;

/// Decides which documents a daemon adopts. The platform and peers may offer stale or corrupted documents;
/// only a higher revision with a matching hash and valid content is adopted, so the revision in force never
/// decreases. The content of the revision in force changes only if a later era of the platform's store holds
/// another one: the store has lost the former content with what was written after its copy.
class document_adoption {
public:
    /// Document in force, or null if none was adopted yet.
    const std::shared_ptr<const environment_document>& current() const { return current_; }

    /// Revision in force, or 0 if none was adopted yet.
    std::uint64_t revision() const { return current_ ? current_->revision : 0; }

    /// Evaluates a document received from a peer.
    adoption_result offer(const document_object& offered);

    /// Evaluates a document that was read from the platform's own form, where its text has no separate hash.
    /// `era` is the era of the store that it was read from; 0 if it came from a peer or there are no eras.
    adoption_result offer(std::shared_ptr<const environment_document> offered, std::uint64_t era = 0);

    /// Evaluates the serialized value of the platform object.
    adoption_result offer_serialized(std::string_view value);

private:
    document_rejected reject(const document_object& offered, std::string reason,
                             std::vector<finding> findings = {});

    std::shared_ptr<const environment_document> current_;
    /// Newest era of the store in which the document in force was read; 0 if it came from a peer only.
    std::uint64_t era_ = 0;
    /// Reason and text hash of the last rejection, to detect repeats.
    std::string last_rejection_;
};

} // namespace rattanbay::config
