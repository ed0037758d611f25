#include <cyclamendrift/operators/operator_command.h>

#include "status_table.h"

#include <cyclamendrift/callers/request_id.h>
#include <cyclamendrift/operators/operator_error.h>
#include <cyclamendrift/operators/operator_profile.h>
#include <cyclamendrift/schema/key_hash.h>
#include <cyclamendrift/schema/schema_difference.h>
#include <cyclamendrift/schema/schema_file.h>

#include <google/protobuf/util/json_util.h>

#include <sodium.h>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t leastSecretLength = 16;

std::string readFile(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw OperatorError(OperatorError::Kind::Usage, path + ": this file can't be read, or is empty");
    return text.str();
}

/// The schema in a file; its problems are written to `err`.
api::Schema readSchema(const std::string& path, std::ostream& err)
{
    auto file = parseSchemaFile(readFile(path));
    if (file.problems.empty())
        return std::move(file.schema);
    for (const auto& problem : file.problems)
        err << path << ':' << problem.text() << '\n';
    throw OperatorError(OperatorError::Kind::Refused,
        path + ": " + std::to_string(file.problems.size()) + " problems, nothing was sent");
}

std::string randomSecret()
{
    constexpr std::size_t secretBytes = 32;
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::array<unsigned char, secretBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, sodium_base64_ENCODED_LEN(secretBytes, variant)> text {};
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), variant);
    return text.data();
}

std::string readKeySecret(const std::string& path, std::istream& in)
{
    std::string secret;
    if (path == "-")
        std::getline(in, secret);
    else
        secret = readSecretFile(path);
    if (secret.size() < leastSecretLength)
        throw OperatorError(OperatorError::Kind::Usage,
            "the key's secret must have at least " + std::to_string(leastSecretLength) + " characters");
    return secret;
}

class CommandRunner {
public:
    CommandRunner(const OperatorOptions& options, OperatorStreams streams)
        : streams(streams)
        , client(options.client)
        , changeId(options.changeId.empty() ? newRequestId() : options.changeId)
    {
    }

    [[nodiscard]] const std::string& change() const noexcept { return this->changeId; }

    void operator()(const ValidateCommand& command)
    {
        static_cast<void>(readSchema(command.file, this->streams.err));
        this->streams.out << command.file << ": ok\n";
    }

    void operator()(const DiffCommand& command)
    {
        const auto schema = readSchema(command.file, this->streams.err);
        const auto current = this->client.show();
        this->streams.out << "revision " << current.revision() << '\n';
        for (const auto& line : schemaDifference(current.schema(), schema))
            this->streams.out << line << '\n';
    }

    void operator()(const ApplyCommand& command)
    {
        api::ApplyRequest request;
        request.set_change_id(this->changeId);
        request.set_expected_revision(command.expectedRevision);
        *request.mutable_schema() = readSchema(command.file, this->streams.err);
        this->report(this->client.apply(request));
    }

    void operator()(const ShowCommand&)
    {
        const auto current = this->client.show();
        this->streams.out << "# revision " << current.revision() << '\n' << formatSchema(current.schema());
    }

    void operator()(const GrantCommand& command)
    {
        const auto secret = command.keySecretFile.empty()
            ? randomSecret()
            : readKeySecret(command.keySecretFile, this->streams.in);
        api::GrantRequest request;
        request.set_change_id(this->changeId);
        request.set_team(command.team);
        request.set_key_id(command.keyId.empty() ? "key-" + newRequestId() : command.keyId);
        request.set_secret_hash(hashSecret(secret));
        const auto response = this->client.grant(request);
        if (command.printSecretOnly) {
            this->streams.out << secret << '\n';
            return;
        }
        this->report(response);
        this->streams.out << "key " << request.key_id() << " of team " << request.team() << '\n';
        if (command.keySecretFile.empty())
            this->streams.out << "secret, shown this once: " << secret << '\n';
    }

    void operator()(const RevokeCommand& command)
    {
        api::RevokeRequest request;
        request.set_change_id(this->changeId);
        request.set_key_id(command.keyId);
        this->report(this->client.revoke(request));
    }

    void operator()(const LimitsCommand& command)
    {
        api::SetLimitsRequest request;
        request.set_change_id(this->changeId);
        request.set_team(command.team);
        request.set_rate_per_second(command.ratePerSecond);
        request.set_burst(command.burst);
        this->report(this->client.setLimits(request));
    }

    void operator()(const StatusCommand& command)
    {
        const auto status = this->client.status();
        if (!command.json) {
            writeStatusTable(status, this->streams.out);
            return;
        }
        std::string text;
        google::protobuf::util::JsonPrintOptions options;
        options.always_print_primitive_fields = true;
        if (!google::protobuf::util::MessageToJsonString(status, &text, options).ok())
            throw OperatorError(OperatorError::Kind::Unknown, "the status has no JSON form");
        this->streams.out << text << '\n';
    }

private:
    void report(const api::ApplyResponse& response)
    {
        this->streams.out << "revision " << response.revision()
                          << (response.already_applied() ? ", applied already by an earlier try\n" : "\n");
    }

    OperatorStreams streams;
    OperatorClient client;
    std::string changeId;
};

OperatorExit exitOf(OperatorError::Kind kind) noexcept
{
    switch (kind) {
    case OperatorError::Kind::Refused:
        return OperatorExit::Refused;
    case OperatorError::Kind::Conflict:
        return OperatorExit::Conflict;
    case OperatorError::Kind::Usage:
        return OperatorExit::Usage;
    case OperatorError::Kind::Unreachable:
    case OperatorError::Kind::Unknown:
        break;
    }
    return OperatorExit::UnreachableOrUnknown;
}

/// Whether a failed command may have changed something that only its own id can settle.
struct IsChange {
    bool operator()(const ValidateCommand&) const noexcept { return false; }
    bool operator()(const DiffCommand&) const noexcept { return false; }
    bool operator()(const ShowCommand&) const noexcept { return false; }
    bool operator()(const StatusCommand&) const noexcept { return false; }
    template <class Command> bool operator()(const Command&) const noexcept { return true; }
};

void explainUnknown(const OperatorCommand& command, const std::string& changeId, std::ostream& err)
{
    if (const auto* grant = std::get_if<GrantCommand>(&command);
        grant != nullptr && grant->keySecretFile.empty()) {
        err << "it may have taken effect, and its secret is lost: look with `show`, revoke the key and grant "
               "another\n";
        return;
    }
    if (std::visit(IsChange {}, command))
        err << "it may have taken effect: repeat the command with --change-id " << changeId
            << ", which does nothing twice\n";
}

} // namespace

OperatorExit runOperatorCommand(
    const OperatorCommand& command, const OperatorOptions& options, OperatorStreams streams)
{
    CommandRunner runner { options, streams };
    try {
        std::visit(runner, command);
        return OperatorExit::Done;
    } catch (const OperatorError& error) {
        streams.err << error.what() << '\n';
        if (error.kind() == OperatorError::Kind::Unknown)
            explainUnknown(command, runner.change(), streams.err);
        return exitOf(error.kind());
    }
}

} // namespace cyclamendrift
