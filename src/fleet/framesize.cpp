#include "fleet/framesize.h"

#include "fleet/fleet.pb.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstdint>

namespace Anvilcart::Fleet
{
namespace
{
using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;

/// What a row takes, as a message and as the structure that it is decoded to.
constexpr std::size_t BytesPerJob = 1024;
constexpr std::size_t BytesPerRow = 256;
constexpr std::size_t BytesPerNumber = 8;

/// Messages in which fields may be repeated. None: a field without such fields.
enum class Parent {
    None,
    Frame,
    Report,
    Job,
    Step,
    Dependencies,
    StartedRuns,
    Runs,
    CrashNotice,
    LostDispatcher,
    Claim,
    Evacuation,
};

/// The message that a field holds.
Parent childOf(Parent parent, int field)
{
    switch (parent) {
    case Parent::Frame:
        switch (field) {
        case Wire::Frame::kHeartbeatFieldNumber:
            return Parent::Report;
        case Wire::Frame::kSubmitsFieldNumber:
            return Parent::Job;
        case Wire::Frame::kStartedRunsFieldNumber:
            return Parent::StartedRuns;
        case Wire::Frame::kCrashNoticesFieldNumber:
            return Parent::CrashNotice;
        case Wire::Frame::kLostDispatchersFieldNumber:
            return Parent::LostDispatcher;
        default:
            return Parent::None;
        }
    case Parent::Report:
        if (field == Wire::Heartbeat::kEvacuationFieldNumber) {
            return Parent::Evacuation;
        }
        return field == Wire::Heartbeat::kClaimsFieldNumber ? Parent::Claim : Parent::None;
    case Parent::Job:
        if (field == Wire::SubmitJob::kStartedRunsFieldNumber) {
            return Parent::Runs;
        }
        return field == Wire::SubmitJob::kStepsFieldNumber ? Parent::Step : Parent::None;
    case Parent::StartedRuns:
        return field == Wire::StartedRuns::kRunsFieldNumber ? Parent::Runs : Parent::None;
    case Parent::Step:
        return field == Wire::Step::kDependsOnFieldNumber ? Parent::Dependencies : Parent::None;
    case Parent::LostDispatcher:
        return field == Wire::LostDispatcher::kClaimsFieldNumber ? Parent::Claim : Parent::None;
    default:
        return Parent::None;
    }
}

/// Adds what the fields of a message take; false when they cannot be read.
bool addFields(CodedInputStream &stream, Parent parent, std::size_t &bytes)
{
    while (const auto tag = stream.ReadTag()) {
        if (WireFormatLite::GetTagWireType(tag) != WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
            bytes += BytesPerNumber;
            if (!WireFormatLite::SkipField(&stream, tag)) {
                return false;
            }
            continue;
        }
        const auto child = childOf(parent, WireFormatLite::GetTagFieldNumber(tag));
        bytes += child == Parent::Job ? BytesPerJob : BytesPerRow;
        int length = 0;
        if (!stream.ReadVarintSizeAsInt(&length)) {
            return false;
        }
        if (child == Parent::None || child == Parent::Dependencies || child == Parent::Runs) {
            // Each dependency takes a byte or more, and each run eight.
            const std::size_t bytesPerByte = child == Parent::Dependencies ? BytesPerNumber : 2;
            bytes += child == Parent::None ? 0 : bytesPerByte * static_cast<std::size_t>(length);
            if (!stream.Skip(length)) {
                return false;
            }
            continue;
        }
        const auto limit = stream.PushLimit(length);
        if (!addFields(stream, child, bytes)) {
            return false;
        }
        stream.PopLimit(limit);
    }
    return true;
}
} // namespace

std::size_t estimateDecodedBytes(std::string_view frame)
{
    CodedInputStream stream(reinterpret_cast<const std::uint8_t *>(frame.data()), static_cast<int>(frame.size()));
    std::size_t bytes = 0;
    // What cannot be read here is not decoded either.
    addFields(stream, Parent::Frame, bytes);
    return bytes;
}
} // namespace Anvilcart::Fleet
