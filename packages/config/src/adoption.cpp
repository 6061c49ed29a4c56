#include <rattanbay/base/hash.hpp>
#include <rattanbay/config/adoption.hpp>

#include <algorithm>

namespace rattanbay::config {

adoption_result document_adoption::offer(const document_object& offered) {
    const bool same_bytes = current_ && offered.sha256 == current_->sha256;
    if (offered.revision < revision() || (offered.revision == revision() && same_bytes)) {
        return document_ignored{};
    }
    if (offered.revision == revision()) {
        return reject(offered, "it has the revision in force but a different sha256, " + offered.sha256);
    }
    if (!offered.hash_matches()) {
        return reject(offered, "its text does not match the stated sha256, " + offered.sha256);
    }
    validation_result<environment_document> document = environment_document::parse(offered.text);
    if (!document) {
        return reject(offered, "its content has " + std::to_string(document.error().size()) + " errors",
                      document.error());
    }
    if (document->revision != offered.revision) {
        return reject(offered, "its text states revision " + std::to_string(document->revision));
    }
    current_ = std::make_shared<const environment_document>(std::move(*document));
    era_ = 0;
    return document_adopted{current_};
}

adoption_result document_adoption::offer(std::shared_ptr<const environment_document> offered,
                                         std::uint64_t era) {
    const bool same_bytes = current_ && offered->sha256 == current_->sha256;
    if (offered->revision < revision()) {
        return document_ignored{};
    }
    if (offered->revision == revision() && same_bytes) {
        era_ = std::max(era_, era);
        return document_ignored{};
    }
    if (offered->revision == revision() && era <= era_) {
        return reject(document_object::of(*offered),
                      "it has the revision in force but a different sha256, " + offered->sha256);
    }
    current_ = std::move(offered);
    era_ = era;
    return document_adopted{current_};
}

adoption_result document_adoption::offer_serialized(std::string_view value) {
    const base::result<document_object> offered = document_object::parse(value);
    if (!offered) {
        document_object unreadable;
        unreadable.text = value;
        return reject(unreadable, "the object cannot be parsed: " + offered.error().message);
    }
    return offer(*offered);
}

document_rejected document_adoption::reject(const document_object& offered, std::string reason,
                                            std::vector<finding> findings) {
    const std::string identity = reason + base::fast_hash(offered.text).text();
    document_rejected out{offered.revision, std::move(reason), std::move(findings),
                          identity == last_rejection_};
    last_rejection_ = identity;
    return out;
}

} // namespace rattanbay::config
