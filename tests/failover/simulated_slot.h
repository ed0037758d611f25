#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/core/slot_status.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

/// Simulated slot that behaves as the contract with the platform requires: a log, a fence, and replication
/// that drops log entries which the primary does not have.
struct SimulatedSlot {
    struct LogEntry {
        cyclamendrift::Term term {};
        std::uint64_t write = 0;
        cyclamendrift::Instant at;

        friend bool operator==(const LogEntry&, const LogEntry&) = default;
    };
    static constexpr std::uint64_t noWriteId = 0;

    std::vector<LogEntry> log { { cyclamendrift::Term { 1 }, noWriteId, {} } };
    cyclamendrift::Term fenced { 1 };
    cyclamendrift::Term followingTerm { 1 };
    std::size_t following = 0;
    bool primary = false;
    bool alive = true;
    cyclamendrift::Duration lag {};

    [[nodiscard]] cyclamendrift::SlotStatus status() const
    {
        const cyclamendrift::Progress progress { this->log.back().term,
            cyclamendrift::LogPosition { this->log.size() } };
        return { .progress = progress, .fenced = this->fenced, .primary = this->primary };
    }

    void fence(cyclamendrift::Term term)
    {
        this->fenced = std::max(this->fenced, term);
        if (this->fenced > this->log.back().term)
            this->primary = false;
    }

    /// Returns false if the slot rejects the promotion.
    bool promote(cyclamendrift::Term term, cyclamendrift::Instant now)
    {
        const bool acting = this->primary && this->log.back().term == term;
        if (this->fenced != term || (!acting && this->followingTerm >= term))
            return false;
        if (acting)
            return true;
        if (this->log.back().term >= term)
            return false;
        this->primary = true;
        this->log.push_back({ term, noWriteId, now });
        return true;
    }

    bool follow(cyclamendrift::Term term, std::size_t primarySlot)
    {
        const bool other = this->followingTerm == term && this->following != primarySlot;
        const bool acting = this->primary && this->log.back().term == term;
        if (term < this->fenced || term < this->log.back().term || other || acting)
            return false;
        this->fenced = term;
        this->primary = false;
        this->following = primarySlot;
        this->followingTerm = term;
        return true;
    }

    bool write(std::uint64_t write, cyclamendrift::Instant now)
    {
        if (!this->primary || this->fenced > this->log.back().term)
            return false;
        this->log.push_back({ this->log.back().term, write, now });
        return true;
    }

    [[nodiscard]] bool canReplicateFrom(const SimulatedSlot& source) const
    {
        return !this->primary && this->alive && this->fenced <= this->followingTerm && source.alive
            && source.primary && source.log.back().term == this->followingTerm;
    }

    /// Copies the log entries whose lag has passed; returns when the next one is due, if any.
    std::optional<cyclamendrift::Instant> replicateFrom(
        const SimulatedSlot& source, cyclamendrift::Instant now)
    {
        const auto [own, theirs]
            = std::mismatch(this->log.begin(), this->log.end(), source.log.begin(), source.log.end());
        this->log.erase(own, this->log.end());
        while (this->log.size() < source.log.size()) {
            const auto& next = source.log[this->log.size()];
            if (next.at + this->lag > now)
                return next.at + this->lag;
            this->log.push_back(next);
        }
        return std::nullopt;
    }

    [[nodiscard]] bool holds(std::uint64_t write) const
    {
        return std::any_of(this->log.begin(), this->log.end(),
            [&](const LogEntry& record) { return record.write == write; });
    }
};
