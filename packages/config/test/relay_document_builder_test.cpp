#include <rattanbay/config.hpp>

#include <boost/test/unit_test.hpp>

#include <charconv>
#include <set>

namespace base = rattanbay::base;
namespace config = rattanbay::config;

namespace {

/// Reads documents of lines: "revision N", "route NAME", "account NAME" and "service NAME". Names that begin
/// with "bad" cannot be read, and "bad" alone has no host either.
class line_translator final : public config::document_translator {
public:
    base::result<config::relay_outline> outline(std::string_view text) const override {
        config::relay_outline out;
        while (!text.empty()) {
            const std::size_t end = std::min(text.find('\n'), text.size());
            const std::string_view line = text.substr(0, end);
            text.remove_prefix(std::min(end + 1, text.size()));
            const std::string_view value = line.substr(line.find(' ') + 1);
            if (line.starts_with("route")) {
                out.routes.push_back(value);
            } else if (line.starts_with("account")) {
                out.accounts.push_back(value);
            } else if (line.starts_with("service")) {
                out.services.push_back(value);
            } else if (line.starts_with("limits")) {
                out.limits = value;
            } else {
                std::from_chars(value.data(), value.data() + value.size(), out.revision);
            }
        }
        if (out.revision == 0) {
            return base::fail(base::error_code::invalid_input, "no revision");
        }
        return out;
    }

    config::part_reading<config::relay_route> read_route(std::string_view text) const override {
        ++parts_read;
        config::part_reading<config::relay_route> out;
        out.value.name = text;
        out.value.host = text == "bad" ? "" : "one.example";
        out.value.path_prefix = "/" + out.value.name + "/";
        out.findings = findings_of(text);
        return out;
    }

    config::part_reading<config::relay_service> read_service(std::string_view text) const override {
        config::part_reading<config::relay_service> out;
        out.value.name = base::service_name(std::string(text));
        out.findings = findings_of(text);
        return out;
    }

    config::part_reading<config::relay_account> read_account(std::string_view text) const override {
        ++parts_read;
        config::part_reading<config::relay_account> out;
        out.value.name = base::account_id(std::string(text));
        out.value.key_hashes = {std::string(text) + "-key"};
        out.findings = findings_of(text);
        return out;
    }

    config::part_reading<config::client_limits> read_limits(std::string_view text) const override {
        config::part_reading<config::client_limits> out;
        out.value.max_body_bytes = text.size();
        out.findings = findings_of(text);
        return out;
    }

    mutable std::size_t parts_read = 0;

private:
    static std::vector<config::finding> findings_of(std::string_view text) {
        return text.starts_with("bad") ? std::vector<config::finding>{{"/x", "is wrong"}}
                                       : std::vector<config::finding>();
    }
};

std::shared_ptr<const config::environment_document>
build(const line_translator& translator, const std::string& text,
      const std::shared_ptr<const config::environment_document>& previous, std::size_t* findings = nullptr) {
    config::relay_document_builder builder(translator, text, previous);
    BOOST_REQUIRE(builder.begin().has_value());
    while (!builder.advance(1)) {
    }
    if (findings != nullptr) {
        *findings = builder.findings().size();
    }
    return builder.finish();
}

std::string many_routes(std::size_t count) {
    std::string out = "revision 1\naccount a\naccount b\nservice s\n";
    for (std::size_t n = 0; n < count; ++n) {
        out += "route r" + std::to_string(n) + "\n";
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_document_builder)

// The thread of a daemon was held for a second by each large document, though most had one changed route.
BOOST_AUTO_TEST_CASE(unchanged_parts_are_not_read_again) {
    const line_translator translator;
    const std::string text = many_routes(3000);
    const std::shared_ptr<const config::environment_document> first = build(translator, text, nullptr);
    BOOST_TEST(translator.parts_read == 3002U);
    std::string changed = text;
    changed.replace(changed.find("route r1500\n"), 12, "route moved\n");
    changed.replace(0, 10, "revision 2");
    const std::shared_ptr<const config::environment_document> second = build(translator, changed, first);
    BOOST_TEST(translator.parts_read == 3003U);
    BOOST_TEST(second->revision == 2U);
    BOOST_REQUIRE(second->relay->routes.size() == 3000U);
    BOOST_TEST(second->relay->routes[1500]->name == "moved");
    BOOST_TEST(second->relay->routes[1499].get() == first->relay->routes[1499].get());
    BOOST_TEST(second->relay->accounts_by_key_hash.at("b-key")->name.text() == "b");
    BOOST_TEST(second->relay->services.size() == 1U);
}

// Guards against removed parts that stay in force because they are taken over.
BOOST_AUTO_TEST_CASE(removed_parts_are_not_taken_over) {
    const line_translator translator;
    const std::shared_ptr<const config::environment_document> first =
        build(translator, many_routes(3), nullptr);
    const std::shared_ptr<const config::environment_document> second =
        build(translator, "revision 2\nroute r1\naccount b\n", first);
    BOOST_TEST(second->relay->routes.size() == 1U);
    BOOST_TEST(second->relay->accounts_by_key_hash.size() == 1U);
    BOOST_TEST(second->relay->services.empty());
}

// Guards against one step that reads a whole document.
BOOST_AUTO_TEST_CASE(a_step_reads_a_bounded_amount_of_text) {
    const line_translator translator;
    config::relay_document_builder builder(translator, many_routes(1000), nullptr);
    BOOST_REQUIRE(builder.begin().has_value());
    std::size_t before = 0;
    while (!builder.advance(50)) {
        BOOST_TEST(translator.parts_read - before <= 25U);
        before = translator.parts_read;
    }
}

// A part that could not be read kept the whole document, and all later ones, out of force.
BOOST_AUTO_TEST_CASE(an_unreadable_part_costs_only_itself) {
    const line_translator translator;
    std::size_t findings = 0;
    const std::shared_ptr<const config::environment_document> read =
        build(translator,
              "revision 4\nroute a\nroute bad-b\nroute bad\nservice bad\nservice s\naccount bad\naccount "
              "c\nlimits 12345",
              nullptr, &findings);
    BOOST_TEST(findings == 4U);
    const config::relay_document& relay = *read->relay;
    // A route without a host is left out; one with a host rejects its requests.
    BOOST_REQUIRE(relay.routes.size() == 2U);
    BOOST_TEST(relay.routes[0]->is_usable);
    BOOST_TEST(!relay.routes[1]->is_usable);
    BOOST_TEST(relay.services.size() == 1U);
    BOOST_TEST(relay.accounts_by_key_hash.size() == 1U);
    BOOST_TEST(relay.has_unusable_accounts);
    BOOST_TEST(relay.limits.max_body_bytes == 5U);
    // A part that was unusable is read again.
    const std::shared_ptr<const config::environment_document> next =
        build(translator, "revision 5\nroute a\nroute bad-b\nlimits bad", read, &findings);
    BOOST_TEST(findings == 2U);
    BOOST_TEST(next->relay->limits.max_body_bytes == 5U);
}

// Guards against a document without a revision that replaces another one.
BOOST_AUTO_TEST_CASE(a_document_without_a_revision_is_rejected) {
    const line_translator translator;
    config::relay_document_builder builder(translator, "route a\n", nullptr);
    BOOST_TEST(!builder.begin().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
