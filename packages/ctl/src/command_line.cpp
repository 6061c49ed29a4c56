#include "internal/command_line.hpp"

#include <rattanbay/config/name.hpp>

#include <tclap/StdOutput.h>

namespace rattanbay::ctl::internal {

namespace {

constexpr const char* exit_codes = "Exit codes: 0 success, 1 refused or findings, 2 usage error, "
                                   "3 unreachable, 4 outcome unknown.";

/// Writes the help text to a stream other than the standard output.
class stream_output : public TCLAP::StdOutput {
public:
    explicit stream_output(std::ostream& out)
        : out_(out) {}

    void usage(TCLAP::CmdLineInterface& line) override {
        out_ << "Usage:\n";
        _shortUsage(line, out_);
        out_ << "\n\n";
        _longUsage(line, out_);
    }

    void version(TCLAP::CmdLineInterface& line) override { out_ << line.getVersion() << "\n"; }

    void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException& error) override { throw error; }

private:
    std::ostream& out_;
};

} // namespace

command_line::command_line(const invocation& call, const std::string& description)
    : call_(call)
    , parser_(description + " " + exit_codes, ' ', RATTANBAY_VERSION)
    , json_("", "json", "Prints the result as JSON.", parser_) {
    parser_.setExceptionHandling(false);
}

int command_line::run(const std::function<report()>& body) {
    stream_output output(call_.out);
    parser_.setOutput(&output);
    std::vector<std::string> arguments = call_.arguments;
    try {
        parser_.parse(arguments);
        return print(body());
    } catch (const TCLAP::ArgException& error) {
        return print_usage_error(error.error() + " (" + error.argId() + ")");
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const usage_error& error) {
        return print_usage_error(error.message);
    }
}

int command_line::print(const report& result) const {
    constexpr int indent = 2;
    if (json_.getValue()) {
        call_.out << result.data.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    } else {
        call_.out << result.text;
    }
    return static_cast<int>(result.code);
}

int command_line::print_usage_error(const std::string& message) const {
    call_.err << call_.arguments.front() << ": " << message << "; --help shows the usage\n";
    return static_cast<int>(exit_code::usage);
}

base::address parse_address(const std::string& text) {
    const base::result<base::address> address = base::address::parse(text);
    if (!address) {
        throw usage_error{address.error().message};
    }
    return *address;
}

std::vector<base::address> parse_addresses(const std::vector<std::string>& texts) {
    std::vector<base::address> out;
    out.reserve(texts.size());
    for (const std::string& text : texts) {
        out.push_back(parse_address(text));
    }
    return out;
}

std::string parse_environment(const std::string& text) {
    if (!config::is_valid_name(text)) {
        throw usage_error{"'" + text + "' is not the name of an environment; " +
                          std::string(config::name_rule)};
    }
    return text;
}

std::string read_file(command_io& io, const std::string& path) {
    base::result<std::string> content = io.read_file(path);
    if (!content) {
        throw usage_error{content.error().message};
    }
    return std::move(*content);
}

} // namespace rattanbay::ctl::internal
