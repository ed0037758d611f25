#include "pq_link.h"

#include <cyclamendrift/upstreams/upstream_error.h>

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace cyclamendrift {

namespace {

/// True when both numbers stand for one socket: a number alone says little, as libpq may close one socket and
/// be given the same number for the next.
bool isSameSocket(int left, int right) noexcept
{
    struct stat one { };
    struct stat other { };
    if (fstat(left, &one) != 0 || fstat(right, &other) != 0)
        return false;
    return one.st_dev == other.st_dev && one.st_ino == other.st_ino;
}

} // namespace

PqLink::PqLink(const asio::any_io_executor& executor, PGconn* connection)
    : descriptor(executor)
    , timer(executor)
    , connection(connection)
{
}

/// libpq closes and opens sockets by itself while it connects. Were its own descriptor registered, Asio could
/// later deregister a number that belongs to another connection by then; a duplicate is ours alone.
void PqLink::attach()
{
    const int current = PQsocket(this->connection.get());
    if (this->descriptor.is_open() && isSameSocket(current, this->descriptor.native_handle()))
        return;
    std::error_code ignored;
    this->descriptor.close(ignored);
    // Waits on the socket before are over, though their handlers still have to run; were they counted as
    // pending, nobody would wait on the new one and the connect would stand still until its deadline.
    ++this->attachment;
    this->readPending = false;
    this->writePending = false;
    const int duplicate = dup(current);
    if (duplicate < 0)
        throw UpstreamError { UpstreamError::Kind::ConnectFailed, std::generic_category().message(errno) };
    this->descriptor.assign(duplicate);
}

asio::awaitable<WaitResult> PqLink::wait(Readiness readiness, Instant deadline)
{
    const auto self = this->shared_from_this();
    if (this->closed)
        co_return WaitResult::Closed;
    this->ready = false;
    this->timer.expires_at(deadline);
    if (readiness != Readiness::Write)
        this->waitForRead();
    if (readiness != Readiness::Read)
        this->waitForWrite();
    std::error_code error;
    co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (this->closed)
        co_return WaitResult::Closed;
    if (this->ready)
        co_return WaitResult::Ready;
    // A timer that was cancelled by somebody else means that the caller's coroutine is being cancelled.
    co_return error ? WaitResult::Closed : WaitResult::DeadlinePassed;
}

void PqLink::watchIdle(Instant deadline)
{
    if (this->closed)
        return;
    this->idle = true;
    this->waitForRead();
    if (deadline == Instant::max())
        return;
    this->timer.expires_at(deadline);
    this->timer.async_wait([weak = this->weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && self->idle)
            self->close();
    });
}

void PqLink::endIdle() noexcept
{
    this->idle = false;
    this->timer.cancel();
}

void PqLink::close() noexcept
{
    if (this->closed)
        return;
    this->closed = true;
    std::error_code ignored;
    this->descriptor.close(ignored);
    this->timer.cancel();
    this->connection.reset();
}

void PqLink::waitForRead()
{
    if (this->readPending)
        return;
    this->readPending = true;
    this->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
        [self = this->shared_from_this(), attachment = this->attachment](const std::error_code& error) {
            if (attachment != self->attachment)
                return;
            self->readPending = false;
            if (error)
                return;
            self->ready = true;
            if (self->idle)
                self->readWhileIdle();
            else
                self->timer.cancel();
        });
}

void PqLink::waitForWrite()
{
    if (this->writePending)
        return;
    this->writePending = true;
    this->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
        [self = this->shared_from_this(), attachment = this->attachment](const std::error_code& error) {
            if (attachment != self->attachment)
                return;
            self->writePending = false;
            if (error)
                return;
            self->ready = true;
            if (!self->idle)
                self->timer.cancel();
        });
}

/// A database that restarts or drops an idle connection says so, or just closes its end. Left unread, the
/// next statement would be sent into a dead connection and its outcome would be unknown for no need.
void PqLink::readWhileIdle()
{
    if (this->closed)
        return;
    const bool alive
        = PQconsumeInput(this->connection.get()) == 1 && PQstatus(this->connection.get()) == CONNECTION_OK;
    if (!alive) {
        this->close();
        return;
    }
    this->waitForRead();
}

} // namespace cyclamendrift
