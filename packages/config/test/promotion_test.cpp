#include "example_documents.hpp"
#include "fake_platform.hpp"

#include <rattanbay/config.hpp>

#include <boost/test/unit_test.hpp>

#include <deque>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace object_api = rattanbay::object_api;
using config::publication_status;

namespace {

config::proof proof_of(const config::environment_document& document) {
    return {document.revision, document.sha256, "trial", {"127.0.1.1:9000"}, {"plan"}};
}

/// Runs a publication to completion; `faults` are injected into the first calls.
template <class Publication>
config::publication_result run(fake_platform& target, Publication publication,
                               std::deque<fault> faults = {}) {
    base::time_point now;
    config::publication_step step = publication.start(now);
    while (const config::delayed_call* next = std::get_if<config::delayed_call>(&step)) {
        const fault injected = faults.empty() ? fault::none : faults.front();
        if (!faults.empty()) {
            faults.pop_front();
        }
        now += next->delay + std::chrono::milliseconds(10);
        step = publication.handle(target.answer(0, next->call, injected, 0), now);
    }
    return std::get<config::publication_result>(step);
}

config::publication_result promote(fake_platform& target, const config::environment_document& document,
                                   const std::string& environment = "production") {
    return run(target, config::document_promotion(environment, document, {}, base::random_source(1)));
}

config::publication_result prove(fake_platform& target, const config::environment_document& document,
                                 const std::deque<fault>& faults = {}) {
    config::proof_publication publication(proof_of(document), document, {}, base::random_source(1));
    return run(target, std::move(publication), faults);
}

/// Stores any proof under the key of `sha256`.
void put_proof(fake_platform& target, const std::string& sha256, const config::proof& value) {
    const object_api::write_object write{config::proof::key(sha256), std::nullopt, value.serialize()};
    BOOST_REQUIRE(std::holds_alternative<object_api::written>(target.answer(0, write, fault::none, 0)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(promotion)

// Guards against promoting a document that differs from the proved one in any byte.
BOOST_AUTO_TEST_CASE(only_the_proved_bytes_are_promoted) {
    fake_platform target;
    BOOST_CHECK(prove(target, example_document(3, 0)).status == publication_status::accepted);
    const config::publication_result other = promote(target, example_document(3, 1));
    BOOST_CHECK(other.status == publication_status::refused);
    BOOST_TEST(other.reason.starts_with("no proof exists for sha256 " + example_document(3, 1).sha256));
    BOOST_CHECK(promote(target, example_document(3, 0), "trial").status == publication_status::refused);
    BOOST_CHECK(promote(target, example_document(3, 0)).status == publication_status::accepted);
    BOOST_CHECK(promote(target, example_document(3, 0)).status == publication_status::already_accepted);
}

// Guards against accepting an incomplete proof.
BOOST_AUTO_TEST_CASE(incomplete_proofs_are_refused) {
    const config::environment_document document = example_document(3);
    std::vector<config::proof> wrong(4, proof_of(document));
    wrong[0].pipelines.clear();
    wrong[1].daemons.clear();
    wrong[2].revision = 2;
    wrong[3].sha256 = example_document(3, 1).sha256;
    for (const config::proof& row : wrong) {
        fake_platform target;
        put_proof(target, document.sha256, row);
        const config::publication_result result = promote(target, document);
        BOOST_CHECK(result.status == publication_status::refused);
        BOOST_TEST(result.reason.starts_with("the proof cannot be used: "));
    }
}

// Guards against reverting to an older proved document through promotion.
BOOST_AUTO_TEST_CASE(an_older_proved_file_is_refused) {
    fake_platform target;
    prove(target, example_document(3));
    prove(target, example_document(4));
    BOOST_CHECK(promote(target, example_document(4)).status == publication_status::accepted);
    const config::publication_result old = promote(target, example_document(3));
    BOOST_CHECK(old.status == publication_status::refused);
    BOOST_TEST(old.revision_in_force.value() == 4U);
}

// Guards against writes based on a copy known to be stale, which cannot succeed.
BOOST_AUTO_TEST_CASE(a_stale_copy_is_read_again) {
    const object_api::answer old =
        object_api::object{7, config::document_object::of(example_document(2)).serialize()};
    config::document_publication publication("production", example_document(3), {}, base::random_source(1));
    base::time_point now;
    publication.start(now);
    const config::publication_step write = publication.handle(old, now);
    BOOST_CHECK(std::holds_alternative<object_api::write_object>(std::get<config::delayed_call>(write).call));
    const config::publication_step read = publication.handle(object_api::conflict{9}, now);
    BOOST_CHECK(std::holds_alternative<object_api::read_object>(std::get<config::delayed_call>(read).call));
    const config::publication_step again = publication.handle(old, now);
    BOOST_CHECK(std::holds_alternative<object_api::read_object>(std::get<config::delayed_call>(again).call));
}

// Guards against reporting a lost answer as a failure or a failure as success.
BOOST_AUTO_TEST_CASE(lost_answers_to_a_proof_are_resolved) {
    fake_platform target;
    const config::environment_document document = example_document(3);
    BOOST_CHECK(prove(target, document, {fault::none, fault::drop_answer}).status ==
                publication_status::accepted);
    BOOST_CHECK(prove(target, document).status == publication_status::already_accepted);
    fake_platform down;
    const std::deque<fault> always(1000, fault::drop);
    BOOST_CHECK(prove(down, document, always).status == publication_status::unreachable);
    std::deque<fault> after_read = always;
    after_read.push_front(fault::none);
    BOOST_CHECK(prove(down, document, after_read).status == publication_status::unknown);
    std::deque<fault> refused(1000, fault::refuse);
    refused.push_front(fault::none);
    BOOST_CHECK(prove(down, document, refused).status == publication_status::unreachable);
    const config::publication_result unreachable =
        run(down, config::document_promotion("production", document, {}, base::random_source(1)), always);
    BOOST_CHECK(unreachable.status == publication_status::unreachable);
}

BOOST_AUTO_TEST_SUITE_END()
