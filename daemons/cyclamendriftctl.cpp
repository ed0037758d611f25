#include <cyclamendrift/operators/operator_command.h>
#include <cyclamendrift/operators/operator_error.h>
#include <cyclamendrift/operators/operator_profile.h>

#include <docopt/docopt.h>

#include <charconv>
#include <iostream>
#include <map>
#include <string>

namespace {

constexpr auto usage = R"(Operates a fleet of cyclamendrift proxies.

Usage:
  cyclamendriftctl validate FILE
  cyclamendriftctl [options] diff FILE
  cyclamendriftctl [options] apply FILE --expected-revision N
  cyclamendriftctl [options] show
  cyclamendriftctl [options] grant --team NAME [--key-id ID] [--key-secret-file FILE] [--print-secret-only]
  cyclamendriftctl [options] revoke KEY
  cyclamendriftctl [options] limits TEAM --rate R --burst B
  cyclamendriftctl [options] status [--json]
  cyclamendriftctl --version
  cyclamendriftctl --help

Options:
  --endpoint URLS         operators' ports of one or more proxies, as in http://10.0.0.1:7002,http://10.0.0.2:7002;
                          a call goes on to the next one only when that can do no harm
  --secret-file FILE      file with the operators' secret in its first line
  --profile FILE          TOML with `endpoints` and `secret_file`, in place of the two above
  --change-id ID          id of a change; give the one of an earlier try whose outcome is unknown
  --timeout-ms N          time limit of one call [default: 10000]
  --expected-revision N   revision that the change was made for; another one in force is a conflict
  --team NAME             team of the key
  --key-id ID             id of the key; one is made up otherwise
  --key-secret-file FILE  take the key's secret from the first line of a file, or of standard input for "-"; a random
                          one is made and shown once otherwise
  --print-secret-only     print the key's secret and nothing else
  --rate R                requests a second over all VMs
  --burst B               requests at once over all VMs
  --json                  as JSON

FILE is a schema in protobuf text format (see examples/).

Exit codes: 0 done; 1 refused, it had no effect; 2 wrong arguments or files; 3 no proxy could be reached, or the outcome
is unknown; 4 conflict with another change, it had no effect.
)";
constexpr auto version = "cyclamendriftctl 0.1.0";

using namespace cyclamendrift;

using Arguments = std::map<std::string, docopt::value>;

std::string textOf(Arguments& arguments, const char* name)
{
    auto& value = arguments[name];
    return value ? value.asString() : std::string {};
}

template <class Number> Number numberOf(Arguments& arguments, const char* name)
{
    const auto text = textOf(arguments, name);
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size())
        throw OperatorError(
            OperatorError::Kind::Usage, std::string { name } + " must be a number, not " + text);
    return number;
}

OperatorCommand commandOf(Arguments& arguments)
{
    if (arguments["validate"].asBool())
        return ValidateCommand { .file = textOf(arguments, "FILE") };
    if (arguments["diff"].asBool())
        return DiffCommand { .file = textOf(arguments, "FILE") };
    if (arguments["apply"].asBool())
        return ApplyCommand { .file = textOf(arguments, "FILE"),
            .expectedRevision = numberOf<std::uint64_t>(arguments, "--expected-revision") };
    if (arguments["grant"].asBool())
        return GrantCommand { .team = textOf(arguments, "--team"),
            .keyId = textOf(arguments, "--key-id"),
            .keySecretFile = textOf(arguments, "--key-secret-file"),
            .printSecretOnly = arguments["--print-secret-only"].asBool() };
    if (arguments["revoke"].asBool())
        return RevokeCommand { .keyId = textOf(arguments, "KEY") };
    if (arguments["limits"].asBool())
        return LimitsCommand { .team = textOf(arguments, "TEAM"),
            .ratePerSecond = numberOf<double>(arguments, "--rate"),
            .burst = numberOf<std::uint32_t>(arguments, "--burst") };
    if (arguments["status"].asBool())
        return StatusCommand { .json = arguments["--json"].asBool() };
    return ShowCommand {};
}

OperatorOptions optionsOf(Arguments& arguments)
{
    OperatorOptions options { .changeId = textOf(arguments, "--change-id") };
    if (const auto file = textOf(arguments, "--profile"); !file.empty()) {
        auto profile = readProfile(file);
        options.client.endpoints = std::move(profile.endpoints);
        options.client.secret = std::move(profile.secret);
    }
    if (const auto list = textOf(arguments, "--endpoint"); !list.empty())
        options.client.endpoints = splitEndpoints(list);
    if (const auto file = textOf(arguments, "--secret-file"); !file.empty())
        options.client.secret = readSecretFile(file);
    options.client.callTimeout
        = std::chrono::milliseconds { numberOf<std::uint32_t>(arguments, "--timeout-ms") };
    return options;
}

int exitCode(OperatorExit exit) { return static_cast<int>(exit); }

} // namespace

int main(int argc, const char* const* argv)
try {
    auto arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, true);
    return exitCode(runOperatorCommand(
        commandOf(arguments), optionsOf(arguments), { .in = std::cin, .out = std::cout, .err = std::cerr }));
} catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return exitCode(OperatorExit::Done);
} catch (const docopt::DocoptExitVersion&) {
    std::cout << version << '\n';
    return exitCode(OperatorExit::Done);
} catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n\n" << usage;
    return exitCode(OperatorExit::Usage);
} catch (const OperatorError& error) {
    std::cerr << error.what() << '\n';
    return exitCode(OperatorExit::Usage);
} catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return exitCode(OperatorExit::Refused);
}
