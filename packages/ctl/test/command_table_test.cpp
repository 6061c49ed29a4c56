#include "command_fixture.hpp"

#include <boost/test/unit_test.hpp>

using nlohmann::json;

BOOST_AUTO_TEST_SUITE(command_table)

// Guards against a command without help text, and against an invalid command line that exits with 0.
BOOST_AUTO_TEST_CASE(every_command_has_help) {
    command_fixture fixture;
    const command_fixture::output list = fixture.run({"--help"});
    BOOST_TEST(list.code == 0);
    for (const rattanbay::ctl::command& row : rattanbay::ctl::command_table()) {
        const std::string name(row.name);
        const command_fixture::output help = fixture.run({name, "--help"});
        BOOST_TEST(help.code == 0);
        BOOST_TEST(help.out.find("rattanbayctl " + name) != std::string::npos);
        BOOST_TEST(list.out.find("  " + name) != std::string::npos);
        const command_fixture::output wrong = fixture.run({name, "--no-such-flag"});
        BOOST_TEST(wrong.code == 2);
        BOOST_TEST(!wrong.err.empty());
    }
    BOOST_TEST(fixture.run({}).code == 2);
    BOOST_TEST(fixture.run({"statsu"}).code == 2);
    BOOST_TEST(fixture.run({"status", "127.0.0.1"}).code == 2);
    BOOST_TEST(fixture.requests.empty());
}

// Guards against a file being checked as the wrong kind, and against findings that exit with 0.
BOOST_AUTO_TEST_CASE(check_detects_the_kind_of_a_file) {
    command_fixture fixture;
    fixture.files = {{"s", R"({"vm": "a"})"}, {"d", R"({"revision": 0})"}, {"n", "{}"}, {"x", "{"}};
    const json checked = json::parse(fixture.run({"check", "--json", "s", "d", "n", "x"}).out)["files"];
    BOOST_TEST(checked[0]["kind"] == "settings");
    BOOST_TEST(checked[1]["kind"] == "document");
    BOOST_TEST(checked[1]["findings"][0]["pointer"] == "/revision");
    BOOST_TEST(checked[2]["kind"] == "unknown");
    BOOST_TEST(checked[3]["findings"].size() == 1U);
    BOOST_TEST(fixture.run({"check", "s"}).code == 1);
    BOOST_TEST(fixture.run({"check", "--document", "--settings", "s"}).code == 2);
    BOOST_TEST(fixture.run({"check", "missing"}).code == 2);
}

BOOST_AUTO_TEST_SUITE_END()
