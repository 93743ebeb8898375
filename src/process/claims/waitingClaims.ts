import type { EventTime } from "../eventTime.ts";
import type { Claim } from "./claim.ts";
import { ClaimOutcome } from "./claimOutcome.ts";
import type { ClaimVerdict } from "./claimVerdict.ts";
import { RefusedClaimants } from "./refusedClaimants.ts";
import type { TicketVerdict } from "./ticketVerdict.ts";
import type { WaitingClaim } from "./waitingClaim.ts";

/** What a {@link WaitingClaims} asks its shard. */
export interface WaitingClaimsOptions {
    /** Decides a claim from what is known; undefined where it has to wait. */
    decide(claim: Claim, wallTime: number): ClaimVerdict | undefined;
    /** Tells whether the shard has been read up to its tail. */
    isReady(): boolean;
    /** Finds a claim on a key that may have taken effect, or may still do so. */
    findPossible(key: string): Claim | undefined;
}

/** Most claims that wait in one shard. */
const maximumWaiting = 10_000;

/** The claims of a shard that have no verdict yet, oldest first, and the verdicts that are ready to be given. */
export class WaitingClaims {
    private readonly options: WaitingClaimsOptions;
    private readonly refused = RefusedClaimants.create();
    private entries: WaitingClaim[] = [];
    private verdicts: TicketVerdict[] = [];

    private constructor(options: WaitingClaimsOptions) {
        this.options = options;
    }

    /** Creates an empty list. */
    static create(options: WaitingClaimsOptions): WaitingClaims {
        return new WaitingClaims(options);
    }

    /** Gets the claims, oldest first. */
    getEntries(): readonly WaitingClaim[] {
        return this.entries;
    }

    /** Gets the verdicts since the last call. */
    takeVerdicts(): TicketVerdict[] {
        const verdicts = this.verdicts;
        this.verdicts = [];
        return verdicts;
    }

    /** Answers a claim at once where it can be decided, else lets it wait. */
    add(entry: WaitingClaim, time: EventTime): void {
        if (this.tryAnswer(entry, time)) {
            return;
        }
        if (this.entries.length >= maximumWaiting) {
            this.refuse(entry, "Too many claims wait for this shard. Try again later.", time);
            return;
        }
        this.entries.push(entry);
    }

    /** Answers the claims that can be decided now. */
    answerDecided(time: EventTime): void {
        this.entries = this.entries.filter(entry => !this.tryAnswer(entry, time));
    }

    /** Refuses the claims whose time is over. */
    giveUp(time: EventTime): void {
        const isOver = (entry: WaitingClaim): boolean => entry.deadline <= time.monotonic;
        if (this.entries[0] === undefined || !isOver(this.entries[0])) {
            return;
        }
        for (const entry of this.entries) {
            if (isOver(entry)) {
                this.refuse(entry, "The platform's service did not answer in time. Try again later.", time);
            }
        }
        this.entries = this.entries.filter(entry => !isOver(entry));
    }

    /** Refuses all claims. */
    refuseAll(message: string, time: EventTime): void {
        for (const entry of this.entries) {
            this.refuse(entry, message, time);
        }
        this.entries = [];
    }

    private tryAnswer(entry: WaitingClaim, time: EventTime): boolean {
        const { claim } = entry;
        const verdict = this.refused.getVerdict(claim.claimant) ?? this.options.decide(claim, time.wall);
        if (verdict !== undefined) {
            this.answer(entry, verdict, time);
        }
        return verdict !== undefined;
    }

    /** Refuses a claim: taken where another claimant's append may have taken effect, else unavailable. */
    private refuse(entry: WaitingClaim, message: string, time: EventTime): void {
        const earlier = this.refused.getVerdict(entry.claim.claimant);
        this.answer(entry, earlier ?? this.getRefusal(entry.claim, message), time);
    }

    private getRefusal(claim: Claim, message: string): ClaimVerdict {
        const possible = this.options.findPossible(claim.key);
        if (possible === undefined || possible.claimant === claim.claimant) {
            const isUnclaimed = this.options.isReady();
            return { outcome: ClaimOutcome.Unavailable, message, ...(isUnclaimed ? { isUnclaimed } : {}) };
        }
        return { outcome: ClaimOutcome.Taken, claimant: possible.claimant, nodeId: possible.nodeId, message };
    }

    private answer(entry: WaitingClaim, verdict: ClaimVerdict, time: EventTime): void {
        if (verdict.outcome !== ClaimOutcome.Granted) {
            this.refused.add(entry.claim.claimant, verdict, time.monotonic);
        }
        this.verdicts.push({ ticket: entry.ticket, verdict });
    }
}
