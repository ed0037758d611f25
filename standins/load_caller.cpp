#include <standins/load_caller.h>

#include <cyclamendrift.pb.h>

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace cyclamendrift::standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr long timeoutMilliseconds = 15000;
constexpr long statusOk = 200;
constexpr auto path = "/cyclamendrift.api.Statements/Execute";

enum class Transport { Answered, Refused, Cut };

struct Answer {
    Transport transport = Transport::Cut;
    long status = 0;
    std::string body;
};

std::size_t appendBody(char* data, std::size_t size, std::size_t count, void* target)
{
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

/// One caller's HTTP connection.
class HttpCaller {
public:
    explicit HttpCaller(const std::string& key)
        : handle(curl_easy_init(), &curl_easy_cleanup)
        , headers(nullptr, &curl_slist_free_all)
    {
        auto* list = curl_slist_append(nullptr, ("Authorization: Bearer " + key).c_str());
        list = curl_slist_append(list, "Content-Type: application/protobuf");
        this->headers.reset(curl_slist_append(list, "Accept: application/protobuf"));
    }

    Answer post(const std::string& url, const std::string& body)
    {
        Answer answer;
        auto* curl = this->handle.get();
        curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
        curl_easy_setopt(curl, CURLOPT_HTTPHEADER, this->headers.get());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
        curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeoutMilliseconds);
        curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
        const auto code = curl_easy_perform(curl);
        if (code == CURLE_OK)
            answer.transport = Transport::Answered;
        else if (code == CURLE_COULDNT_CONNECT)
            answer.transport = Transport::Refused;
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
        return answer;
    }

private:
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle;
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers;
};

/// The tally that all callers share.
class SharedTally {
public:
    void succeeded()
    {
        const std::scoped_lock lock { this->mutex };
        const auto now = Clock::now();
        this->tally.longestGap = std::max<Duration>(this->tally.longestGap, now - this->lastSuccess);
        this->lastSuccess = now;
        ++this->tally.done;
    }

    template <class Change> void change(Change&& change)
    {
        const std::scoped_lock lock { this->mutex };
        change(this->tally);
    }

    LoadTally take() { return std::move(this->tally); }

private:
    std::mutex mutex;
    Clock::time_point lastSuccess = Clock::now();
    LoadTally tally;
};

/// One caller: a session that goes from VM to VM.
class Caller {
public:
    Caller(const LoadOptions& options, SharedTally& tally, unsigned number)
        : options(options)
        , tally(tally)
        , http(options.key)
        , number(number)
        , endpoint(number)
    {
    }

    void run(Clock::time_point end)
    {
        for (std::uint64_t step = 0; Clock::now() < end; ++step) {
            const auto row
                = this->options.prefix + '-' + std::to_string(this->number) + '-' + std::to_string(step);
            if (this->write(row))
                this->readBack(row);
            std::this_thread::sleep_for(this->options.pause);
        }
    }

    /// How many rows with this key the database holds.
    std::optional<int> count(const std::string& row)
    {
        const auto answer = this->send(this->request(row, "read"));
        if (!answer)
            return std::nullopt;
        return answer->rows_size();
    }

private:
    api::ExecuteRequest request(const std::string& row, const std::string& kind)
    {
        api::ExecuteRequest request;
        request.set_request_id(kind + '-' + row);
        request.set_service(this->options.service);
        request.set_database(this->options.database);
        request.set_session_token(this->token);
        request.add_parameters()->set_text(row);
        if (kind == "write") {
            request.set_statement("INSERT INTO reservations (bed) VALUES ($1)");
            request.mutable_write()->set_idempotent(false);
        } else {
            request.set_statement("SELECT bed FROM reservations WHERE bed = $1");
            request.mutable_read()->set_session(true);
        }
        return request;
    }

    bool write(const std::string& row)
    {
        const auto begin = Clock::now();
        if (!this->send(this->request(row, "write")))
            return false;
        this->tally.change([&](LoadTally& shared) {
            shared.acknowledged.push_back(row);
            shared.writes.push_back(Clock::now() - begin);
        });
        return true;
    }

    void readBack(const std::string& row)
    {
        const auto begin = Clock::now();
        const auto answer = this->send(this->request(row, "read"));
        if (!answer)
            return;
        this->tally.change([&](LoadTally& shared) {
            shared.reads.push_back(Clock::now() - begin);
            if (answer->rows_size() != 1)
                ++shared.staleReads;
        });
    }

    /// Sends to the next VM; one that refuses connections is passed over, as a balancer would.
    std::optional<api::ExecuteResponse> send(const api::ExecuteRequest& request)
    {
        for (std::size_t attempt = 0; attempt < this->options.endpoints.size(); ++attempt) {
            this->endpoint = (this->endpoint + 1) % this->options.endpoints.size();
            const auto answer = this->http.post(
                this->options.endpoints[this->endpoint] + path, request.SerializeAsString());
            if (answer.transport == Transport::Refused) {
                this->tally.change([](LoadTally& shared) { ++shared.refusedConnections; });
                continue;
            }
            return this->judge(answer);
        }
        return std::nullopt;
    }

    std::optional<api::ExecuteResponse> judge(const Answer& answer)
    {
        if (answer.transport == Transport::Cut) {
            this->tally.change([](LoadTally& shared) { ++shared.cut; });
            return std::nullopt;
        }
        if (answer.status != statusOk) {
            this->countRefusal(answer);
            return std::nullopt;
        }
        api::ExecuteResponse response;
        if (!response.ParseFromString(answer.body)) {
            this->tally.change([](LoadTally& shared) { ++shared.cut; });
            return std::nullopt;
        }
        this->token = response.session_token();
        this->tally.succeeded();
        return response;
    }

    void countRefusal(const Answer& answer)
    {
        api::Error error;
        const auto parsed = error.ParseFromString(answer.body);
        this->tally.change([&](LoadTally& shared) {
            if (!parsed)
                ++shared.cut;
            else if (error.outcome() == api::OUTCOME_NOT_RUN)
                ++shared.notRun;
            else if (error.outcome() == api::OUTCOME_RAN_AND_FAILED)
                ++shared.failed;
            else
                ++shared.unknown;
        });
    }

    const LoadOptions& options;
    SharedTally& tally;
    HttpCaller http;
    unsigned number;
    std::size_t endpoint;
    std::string token;
};

} // namespace

LoadTally runLoad(const LoadOptions& options)
{
    SharedTally tally;
    const auto end = Clock::now() + options.duration;
    std::vector<std::jthread> threads;
    for (unsigned number = 0; number < options.threads; ++number) {
        threads.emplace_back([&options, &tally, end, number] { Caller { options, tally, number }.run(end); });
    }
    threads.clear();
    return tally.take();
}

std::uint64_t countPresent(const LoadOptions& options, const std::vector<std::string>& rows)
{
    SharedTally tally;
    Caller caller { options, tally, 0 };
    std::uint64_t present = 0;
    for (const auto& row : rows) {
        if (caller.count(row) == 1)
            ++present;
    }
    return present;
}

} // namespace cyclamendrift::standins
