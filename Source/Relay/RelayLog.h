#pragma once

#include <cstdint>

namespace Nutmegrill {

/// Log events of an entry that relays requests directly to backend servers; docs/events.md is the
/// catalogue.
namespace RelayLog {

inline constexpr std::uint32_t Started = 5001;
inline constexpr std::uint32_t StopBegan = 5002;
inline constexpr std::uint32_t Stopped = 5003;
inline constexpr std::uint32_t Reloaded = 5004;
inline constexpr std::uint32_t Ready = 5005;
inline constexpr std::uint32_t AttemptStarted = 5010;
inline constexpr std::uint32_t AttemptFailed = 5011;
inline constexpr std::uint32_t Answered = 5012;
inline constexpr std::uint32_t Refused = 5013;
inline constexpr std::uint32_t StreamCut = 5014;
inline constexpr std::uint32_t CallerLeft = 5015;
inline constexpr std::uint32_t BackendCrashed = 5016;
inline constexpr std::uint32_t Quarantined = 5017;
inline constexpr std::uint32_t QuarantineEnded = 5018;
inline constexpr std::uint32_t ConfigurationInForce = 5020;
inline constexpr std::uint32_t ConfigurationUnreadable = 5021;
inline constexpr std::uint32_t BackendChanged = 5022;
inline constexpr std::uint32_t BackendRemoved = 5023;
inline constexpr std::uint32_t BackendLimited = 5026;
inline constexpr std::uint32_t BackendLeaves = 5027;
inline constexpr std::uint32_t BackendPauses = 5028;
inline constexpr std::uint32_t PauseUnreadable = 5029;
inline constexpr std::uint32_t BackendUnreadable = 5024;
inline constexpr std::uint32_t DomainsOut = 5025;
inline constexpr std::uint32_t StoreLost = 5030;
inline constexpr std::uint32_t StoreRegained = 5031;
inline constexpr std::uint32_t MirroredFromPeer = 5032;
inline constexpr std::uint32_t EngineLost = 5033;
inline constexpr std::uint32_t EngineRegained = 5034;
inline constexpr std::uint32_t MapInUse = 5035;
inline constexpr std::uint32_t EngineOrdered = 5036;
inline constexpr std::uint32_t OwnerDecided = 5037;
inline constexpr std::uint32_t GroupObserved = 5038;
inline constexpr std::uint32_t PeerTraffic = 5039;
inline constexpr std::uint32_t LoopLate = 5041;
inline constexpr std::uint32_t PeerSilent = 5042;
inline constexpr std::uint32_t StoreRestored = 5043;
inline constexpr std::uint32_t OtherGroupHeard = 5044;
inline constexpr std::uint32_t RankStateInvalid = 5045;
inline constexpr std::uint32_t UnexpectedError = 5046;
inline constexpr std::uint32_t AttemptReset = 5047;
inline constexpr std::uint32_t LeaveNoticedLate = 5048;
inline constexpr std::uint32_t RejectedUnread = 5049;
inline constexpr std::uint32_t DutyTaken = 5050;
inline constexpr std::uint32_t DutyLost = 5051;
inline constexpr std::uint32_t UsageReported = 5052;
inline constexpr std::uint32_t RankPaceChanged = 5053;
inline constexpr std::uint32_t StoreOutageEnded = 5054;
inline constexpr std::uint32_t AnswerInvalid = 5055;
inline constexpr std::uint32_t SecondAttempt = 5060;

} // namespace RelayLog

} // namespace Nutmegrill
