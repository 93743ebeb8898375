import type { EventTime } from "../eventTime.ts";
import type { Claim } from "./claim.ts";
import { ClaimOutcome } from "./claimOutcome.ts";
import type { ClaimVerdict } from "./claimVerdict.ts";
import { RefusedClaimants } from "./refusedClaimants.ts";
import type { TicketVerdict } from "./ticketVerdict.ts";
import type { WaitingClaim } from "./waitingClaim.ts";

/** Options of a {@link WaitingClaims}. */
export interface WaitingClaimsOptions {
    /** Decides a claim from the shard's state. Returns undefined if the claim has to wait. */
    decide(claim: Claim, wallTime: number): ClaimVerdict | undefined;
    /** Checks if the shard has been read up to its tail. */
    isReady(): boolean;
    /** Finds a claim on a key that may have taken effect or may still do so. */
    findUnconfirmed(key: string): Claim | undefined;
}

/** Most waiting claims in one shard. */
const maximumWaitingClaims = 10_000;

/** Queue of a shard's claims without a verdict, oldest first, and of the verdicts that have not been taken yet. */
export class WaitingClaims {
    private readonly options: WaitingClaimsOptions;
    private readonly refused = RefusedClaimants.create();
    private entries: WaitingClaim[] = [];
    private verdicts: TicketVerdict[] = [];

    private constructor(options: WaitingClaimsOptions) {
        this.options = options;
    }

    /** Creates an empty queue. */
    static create(options: WaitingClaimsOptions): WaitingClaims {
        return new WaitingClaims(options);
    }

    /** Gets the claims, oldest first. */
    getEntries(): readonly WaitingClaim[] {
        return this.entries;
    }

    /** Gets and clears the new verdicts. */
    takeVerdicts(): TicketVerdict[] {
        const verdicts = this.verdicts;
        this.verdicts = [];
        return verdicts;
    }

    /** Resolves a claim at once if it can be decided, otherwise queues it. */
    add(entry: WaitingClaim, time: EventTime): void {
        if (this.tryResolve(entry, time)) {
            return;
        }
        if (this.entries.length >= maximumWaitingClaims) {
            this.refuse(entry, "Too many claims are waiting for this shard. Try again later.", time);
            return;
        }
        this.entries.push(entry);
    }

    /** Resolves the claims that can be decided now. */
    resolveDecided(time: EventTime): void {
        this.entries = this.entries.filter(entry => !this.tryResolve(entry, time));
    }

    /** Refuses the claims whose deadline has passed. */
    refuseExpired(time: EventTime): void {
        const isExpired = (entry: WaitingClaim): boolean => entry.deadline <= time.monotonic;
        if (this.entries[0] === undefined || !isExpired(this.entries[0])) {
            return;
        }
        for (const entry of this.entries) {
            if (isExpired(entry)) {
                this.refuse(entry, "The platform's key-value store did not respond in time. Try again later.", time);
            }
        }
        this.entries = this.entries.filter(entry => !isExpired(entry));
    }

    /** Refuses all claims. */
    refuseAll(message: string, time: EventTime): void {
        for (const entry of this.entries) {
            this.refuse(entry, message, time);
        }
        this.entries = [];
    }

    private tryResolve(entry: WaitingClaim, time: EventTime): boolean {
        const { claim } = entry;
        const verdict = this.refused.getVerdict(claim.claimant) ?? this.options.decide(claim, time.wall);
        if (verdict !== undefined) {
            this.resolve(entry, verdict, time);
        }
        return verdict !== undefined;
    }

    /** Refuses a claim: as taken if another claimant's append may have taken effect, otherwise as unavailable. */
    private refuse(entry: WaitingClaim, message: string, time: EventTime): void {
        const earlier = this.refused.getVerdict(entry.claim.claimant);
        this.resolve(entry, earlier ?? this.getRefusal(entry.claim, message), time);
    }

    private getRefusal(claim: Claim, message: string): ClaimVerdict {
        const unconfirmed = this.options.findUnconfirmed(claim.key);
        if (unconfirmed === undefined || unconfirmed.claimant === claim.claimant) {
            const isUnclaimed = this.options.isReady();
            return { outcome: ClaimOutcome.Unavailable, message, ...(isUnclaimed ? { isUnclaimed } : {}) };
        }
        return { outcome: ClaimOutcome.Taken, claimant: unconfirmed.claimant, nodeId: unconfirmed.nodeId, message };
    }

    private resolve(entry: WaitingClaim, verdict: ClaimVerdict, time: EventTime): void {
        if (verdict.outcome !== ClaimOutcome.Granted) {
            this.refused.add(entry.claim.claimant, verdict, time.monotonic);
        }
        this.verdicts.push({ ticket: entry.ticket, verdict });
    }
}
