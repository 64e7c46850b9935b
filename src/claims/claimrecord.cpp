#include "claims/claimrecord.h"

#include <boost/json.hpp>

#include <array>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
constexpr std::string_view ClaimType = "claim";
constexpr std::string_view AbandonmentType = "abandonment";
constexpr std::string_view OutcomeType = "outcome";
constexpr std::array<std::string_view, 3> OutcomeNames = {"finished", "failed", "finished_without_output"};

std::int64_t toEpochMs(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime readTime(const json::object &object, std::string_view key)
{
    return WallTime(Milliseconds(object.at(key).to_number<std::int64_t>()));
}

std::string readText(const json::object &object, std::string_view key)
{
    return json::value_to<std::string>(object.at(key));
}

/// Encodes each kind of record as a JSON object.
struct EncodeVisitor
{
    json::object operator()(const Claim &claim) const
    {
        return {{"type", ClaimType},
                {"id", claim.id},
                {"key", claim.key},
                {"submission", claim.submission},
                {"task", claim.task},
                {"host", claim.host},
                {"incarnation", claim.incarnation},
                {"claimed_at_ms", toEpochMs(claim.claimedAt)},
                {"ends_by_ms", toEpochMs(claim.endsBy)},
                {"expires_at_ms", toEpochMs(claim.expiresAt)}};
    }

    json::object operator()(const Abandonment &abandonment) const
    {
        return {{"type", AbandonmentType},
                {"claim", abandonment.claim},
                {"key", abandonment.key},
                {"expires_at_ms", toEpochMs(abandonment.expiresAt)}};
    }

    json::object operator()(const ClaimOutcome &outcome) const
    {
        return {{"type", OutcomeType},
                {"claim", outcome.claim},
                {"key", outcome.key},
                {"kind", OutcomeNames[static_cast<std::size_t>(outcome.kind)]},
                {"text", outcome.text}};
    }
};

Claim decodeClaim(const json::object &object)
{
    return {readText(object, "id"),
            readText(object, "key"),
            readText(object, "submission"),
            readText(object, "task"),
            readText(object, "host"),
            readText(object, "incarnation"),
            readTime(object, "claimed_at_ms"),
            readTime(object, "ends_by_ms"),
            readTime(object, "expires_at_ms")};
}

/// An unknown kind of outcome only shows that the task has run, so it counts as one without output.
ClaimOutcomeKind outcomeKindFromName(std::string_view name)
{
    for (std::size_t i = 0; i < OutcomeNames.size(); ++i) {
        if (OutcomeNames[i] == name) {
            return static_cast<ClaimOutcomeKind>(i);
        }
    }
    return ClaimOutcomeKind::FinishedWithoutOutput;
}

std::optional<ClaimRecord> decodeRecord(const json::object &object)
{
    const auto type = readText(object, "type");
    if (type == ClaimType) {
        return decodeClaim(object);
    }
    if (type == AbandonmentType) {
        return Abandonment {readText(object, "claim"), readText(object, "key"), readTime(object, "expires_at_ms")};
    }
    if (type == OutcomeType) {
        return ClaimOutcome {
            readText(object, "claim"), readText(object, "key"), outcomeKindFromName(readText(object, "kind")), readText(object, "text")};
    }
    return std::nullopt;
}
} // namespace

std::string encodeClaimRecords(const std::vector<ClaimRecord> &records)
{
    json::array list;
    for (const auto &record : records) {
        list.push_back(std::visit(EncodeVisitor(), record));
    }
    return json::serialize(json::object {{"records", std::move(list)}});
}

std::optional<std::vector<ClaimRecord>> decodeClaimRecords(const std::string &body)
{
    try {
        std::vector<ClaimRecord> records;
        const auto value = json::parse(body);
        for (const auto &entry : value.at("records").as_array()) {
            if (auto record = decodeRecord(entry.as_object())) {
                records.push_back(std::move(*record));
            }
        }
        return records;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
} // namespace Anvilcart
