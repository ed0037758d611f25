#pragma once

#include "common.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace review {

/// Addresses of the run: a free network 127.X.Y.0/24, and temporary files.
class Ground {
public:
    Ground()
    {
        this->folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (mkdtemp(this->folder.data()) == nullptr)
            throw std::runtime_error { "no temporary folder" };
        for (int attempt = 0; attempt < 50; ++attempt) {
            const auto number = (static_cast<int>(getpid()) * 7 + attempt * 131) % 60000;
            this->network = "127." + std::to_string(16 + number / 254 % 200) + '.'
                + std::to_string(1 + number % 254) + '.';
            if (this->isFree(8465) && this->isFree(7560) && this->isFree(9464) && this->isFree(8460))
                return;
        }
        throw std::runtime_error { "no free loopback network" };
    }
    ~Ground()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    Ground(const Ground&) = delete;
    Ground& operator=(const Ground&) = delete;

    [[nodiscard]] std::string host(int number) const { return this->network + std::to_string(number); }
    [[nodiscard]] tcp::endpoint endpoint(int number, std::uint16_t port) const
    {
        return { asio::ip::make_address(this->host(number)), port };
    }

    std::string folder;

private:
    [[nodiscard]] bool isFree(std::uint16_t port) const
    {
        for (int number = 1; number < 12; ++number) {
            asio::error_code error;
            tcp::acceptor acceptor { context };
            acceptor.open(tcp::v4(), error);
            acceptor.bind(this->endpoint(number, port), error);
            if (error)
                return false;
        }
        return true;
    }

    std::string network;
};

/// One machine of the system with its process, started with the command of deploy/system.toml.
class Machine {
public:
    struct Options {
        std::string name;
        std::string zone;
        std::string ip;
        std::string store;
    };

    Machine(const Ground& ground, Options options)
        : options(std::move(options))
        , config(ground.folder + '/' + this->options.name + ".toml")
        , log(ground.folder + '/' + this->options.name + ".log")
    {
        this->writeSettings();
    }
    ~Machine() { this->end(); }
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    void start()
    {
        this->process = fork();
        if (this->process < 0)
            throw std::runtime_error { "cannot start a process" };
        if (this->process == 0) {
            // Nothing is left behind if the stand-in itself fails.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            dup2(output, 1);
            dup2(output, 2);
            for (int descriptor = 3; descriptor < 1024; ++descriptor)
                close(descriptor);
            std::vector<std::string> words { "target/platform/cyclamendrift-sessions", "--config", this->config };
            std::vector<char*> arguments;
            for (auto& word : words)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        record("machine " + this->options.name + ": process " + std::to_string(this->process) + " starts");
    }

    void signal(int number, const std::string& name)
    {
        record("machine " + this->options.name + ": " + name);
        if (this->process > 0)
            kill(this->process, number);
    }

    void stop()
    {
        this->signal(SIGSTOP, "stands still");
    }
    void resume()
    {
        this->signal(SIGCONT, "goes on");
    }

    /// True when the process has ended; reports how.
    bool hasEnded()
    {
        int status = 0;
        if (this->process <= 0 || waitpid(this->process, &status, WNOHANG) != this->process)
            return this->process <= 0;
        record("machine " + this->options.name + ": process ends, "
            + (WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                                 : "signal " + std::to_string(WTERMSIG(status))));
        this->process = 0;
        return true;
    }

    void end()
    {
        if (this->process <= 0)
            return;
        kill(this->process, SIGCONT);
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }

    /// Lines of the process's log with one of these words, for the record.
    void copyLog(const std::string& words) const
    {
        std::ifstream file { this->log };
        const std::regex wanted { words };
        int left = 60;
        for (std::string line; std::getline(file, line) && left > 0;) {
            if (!std::regex_search(line, wanted))
                continue;
            recordFile << "    log of " << this->options.name << ": " << line << '\n';
            --left;
        }
    }

    [[nodiscard]] const std::string& name() const { return this->options.name; }
    [[nodiscard]] tcp::endpoint front() const { return { asio::ip::make_address(this->options.ip), 8465 }; }
    [[nodiscard]] tcp::endpoint ready() const { return { asio::ip::make_address(this->options.ip), 8460 }; }

private:
    void writeSettings()
    {
        std::ifstream file { "platform/settings.toml.template" };
        std::ostringstream read;
        read << file.rdbuf();
        auto text = read.str();
        if (text.empty())
            throw std::runtime_error { "platform/settings.toml.template is missing" };
        const std::vector<std::pair<std::string, std::string>> values { { "node", this->options.name },
            { "zone", this->options.zone }, { "limits.cpuShare", "0.25" }, { "limits.cores", "1" },
            { "limits.linkMbps", "1000.0" }, { "listen.front", this->options.ip + ":8465" },
            { "listen.ready", this->options.ip + ":8460" }, { "ip", this->options.ip },
            { "internalPorts.0", "7560" }, { "platform.address", this->options.store },
            { "cloudApi.address", this->options.store }, { "bounds.configApplyMs", "3000" },
            { "bounds.maxSkewMs", "12000" }, { "bounds.graceS", "6" },
            { "contracts|json",
                R"(["base","drain","config","cost","recover","sql","tenants","quota","platform"])" } };
        for (const auto& [name, value] : values) {
            const auto placeholder = "{{" + name + "}}";
            for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
                text.replace(at, placeholder.size(), value);
        }
        if (text.find("{{") != std::string::npos)
            throw std::runtime_error { "the settings template has a placeholder that is not known here" };
        std::ofstream { this->config } << text;
    }

    Options options;
    std::string config;
    std::string log;
    pid_t process = 0;
};

/// A client's session. It sends one request at a time and waits for its whole answer.
class Client {
public:
    struct Answer {
        /// False when the connection ended before the answer was complete.
        bool whole = false;
        std::vector<std::string> rows;
        /// Empty on success.
        std::string error;
        std::string signature;
        std::string state;
        double sentAt = 0;
        double at = 0;

        [[nodiscard]] bool succeeded() const { return this->whole && this->error.empty(); }
        [[nodiscard]] std::string text() const
        {
            if (!this->whole)
                return "connection ended";
            return this->error.empty() ? "DONE " + this->signature : "ERROR " + this->error;
        }
    };

    explicit Client(std::string name)
        : socket(context)
        , name(std::move(name))
    {
    }

    awaitable<bool> start(tcp::endpoint front, std::string database, std::string key)
    {
        asio::error_code error;
        this->buffer.clear();
        this->socket = tcp::socket { context };
        co_await this->socket.async_connect(front, asio::redirect_error(use_awaitable, error));
        if (error)
            co_return false;
        this->socket.set_option(tcp::no_delay { true }, error);
        const auto text = "START " + database + ' ' + key + "\r\n";
        co_await asio::async_write(this->socket, asio::buffer(text), asio::redirect_error(use_awaitable, error));
        const auto line = co_await this->line();
        record("client " + this->name + " START " + database + " at " + front.address().to_string() + " -> " + line);
        this->open = line.starts_with("READY");
        co_return this->open;
    }

    awaitable<Answer> query(std::string id, std::string text)
    {
        Answer answer { .sentAt = nowMs() };
        const auto message = "QUERY " + id + ' ' + text + "\r\n";
        asio::error_code error;
        co_await asio::async_write(
            this->socket, asio::buffer(message), asio::redirect_error(use_awaitable, error));
        while (!error) {
            const auto line = co_await this->line();
            if (line.empty())
                break;
            if (line.starts_with("ROW "))
                answer.rows.push_back(line.substr(4));
            else if (line.starts_with("DONE "))
                answer.signature = line.substr(5);
            else if (line.starts_with("ERROR "))
                answer.error = line.substr(6);
            else if (line.starts_with("READY ")) {
                answer.state = line.substr(6, 1);
                answer.whole = true;
                break;
            }
        }
        answer.at = nowMs();
        this->open = answer.whole;
        record("client " + this->name + " sent at " + numberText(answer.sentAt) + ": " + id + ' ' + text + " -> "
            + answer.text() + (answer.rows.empty() ? "" : " row " + answer.rows.front().substr(0, 24)) + " state "
            + answer.state);
        co_return answer;
    }

    void close()
    {
        asio::error_code ignored;
        this->socket.close(ignored);
        this->open = false;
    }

    [[nodiscard]] bool isOpen() const { return this->open; }

private:
    awaitable<std::string> line()
    {
        asio::error_code error;
        const auto size = co_await asio::async_read_until(this->socket, asio::dynamic_buffer(this->buffer),
            "\r\n", asio::redirect_error(use_awaitable, error));
        if (error)
            co_return std::string {};
        auto text = this->buffer.substr(0, size - 2);
        this->buffer.erase(0, size);
        co_return text;
    }

    tcp::socket socket;
    std::string buffer;
    std::string name;
    bool open = false;
};

} // namespace review
