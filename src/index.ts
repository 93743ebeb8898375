/**
 * The coordination components of foxlead, for use in other programs. Importing this module starts nothing and loads no code of the node
 * process. Each component gets its clock, random source, log and store as arguments.
 *
 * - Claim log: grants each key to at most one claimant, across processes without disks ({@link ClaimOwner}, {@link ShardHash}).
 * - Monotonic follower: a value whose version only increases ({@link MonotonicFollower}).
 * - Fenced lease: at most one holder at a time, with an increasing fencing number ({@link FencedLease}).
 * - Membership view: failure detection in the style of SWIM ({@link MembershipView}, {@link RendezvousOwners}).
 *
 * @module
 */
export { checkClaimKey } from "./process/claims/checkClaimKey.ts";
export type { Claim } from "./process/claims/claim.ts";
export { type ClaimKeyError, ClaimKeyErrorKind } from "./process/claims/claimKeyError.ts";
export { ClaimOutcome } from "./process/claims/claimOutcome.ts";
export { ClaimOwner, type ClaimOwnerOptions } from "./process/claims/claimOwner.ts";
export type { ClaimVerdict } from "./process/claims/claimVerdict.ts";
export { createClaimKey } from "./process/claims/createClaimKey.ts";
export { ShardHash } from "./process/claims/shardHash.ts";
export type { Clock, TimerHandle } from "./process/clock.ts";
export { InvariantError } from "./process/invariantError.ts";
export { FencedLease, type FencedLeaseOptions } from "./process/leases/fencedLease.ts";
export { type LeaseError, LeaseErrorKind } from "./process/leases/leaseError.ts";
export type { EventLog } from "./process/logging/eventLog.ts";
export type { LogEvent } from "./process/logging/logEvent.ts";
export type { Member } from "./process/membership/member.ts";
export type { MemberChange } from "./process/membership/memberChange.ts";
export { MembershipView } from "./process/membership/membershipView.ts";
export type { MembershipViewOptions } from "./process/membership/membershipViewOptions.ts";
export { MemberState } from "./process/membership/memberState.ts";
export { RendezvousOwners } from "./process/membership/rendezvousOwners.ts";
export { type PlatformError, PlatformErrorKind } from "./process/platform/platformError.ts";
export type {
    PlatformStore,
    StoredPage,
    StoredValue,
    SwapOutcome,
    WatchHandle,
    WatchOptions,
} from "./process/platform/platformStore.ts";
export type { VmRecord } from "./process/platform/vmList.ts";
export type { RandomSource } from "./process/randomSource.ts";
export { systemClock } from "./process/systemClock.ts";
export { Err, Ok, type Result } from "./result.ts";
export { MonotonicFollower, type MonotonicFollowerOptions } from "./version/monotonicFollower.ts";
export type { OfferOutcome } from "./version/offerOutcome.ts";
export { OfferOutcomeKind } from "./version/offerOutcomeKind.ts";
export type { VersionOffer } from "./version/versionOffer.ts";
