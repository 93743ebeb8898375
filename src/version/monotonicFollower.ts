import type { Result } from "../result.ts";
import type { OfferOutcome } from "./offerOutcome.ts";
import { OfferOutcomeKind } from "./offerOutcomeKind.ts";
import type { VersionOffer } from "./versionOffer.ts";

/** Options of a {@link MonotonicFollower}. */
export interface MonotonicFollowerOptions<T, F> {
    /** Checks an offer and turns it into the value to put in force. */
    parse(offer: VersionOffer): Result<T, F>;
    /**
     * Called with each accepted value, after it has come into force.
     * @param value - Value that is in force from now on.
     */
    onAccepted?(value: T): void;
}

/**
 * Follows a value whose version number only grows. Any number of sources may offer versions in any order and
 * as often as they like: a lower version, or a broken text, never replaces the value in force. It does no I/O.
 */
export class MonotonicFollower<T, F> {
    private readonly options: MonotonicFollowerOptions<T, F>;
    private current: { version: number; editId: string; value: T; } | undefined;
    /** The last broken offer, kept so that sources that repeat it do not cause another parse. */
    private lastBroken: { offer: VersionOffer; faults: F; } | undefined;

    private constructor(options: MonotonicFollowerOptions<T, F>) {
        this.options = options;
    }

    /**
     * Creates a follower with no value in force.
     * @param options - How to parse an offer, and whom to tell.
     */
    static create<T, F>(options: MonotonicFollowerOptions<T, F>): MonotonicFollower<T, F> {
        return new MonotonicFollower(options);
    }

    /** Gets the value in force, or undefined before the first. */
    getCurrent(): T | undefined {
        return this.current?.value;
    }

    /** Gets the version in force; 0 before the first. */
    getVersion(): number {
        return this.current?.version ?? 0;
    }

    /**
     * Offers a version. It comes into force if it is newer than the one in force and its text is sound.
     * @param offer - Version, edit and text.
     */
    offer(offer: VersionOffer): OfferOutcome<T, F> {
        if (!Number.isSafeInteger(offer.version) || offer.version < 1) {
            return { kind: OfferOutcomeKind.InvalidVersion };
        }
        if (this.current !== undefined && offer.version <= this.current.version) {
            return offer.version === this.current.version && offer.editId !== this.current.editId
                ? { kind: OfferOutcomeKind.Conflict, currentEditId: this.current.editId }
                : { kind: OfferOutcomeKind.NotNewer };
        }
        if (this.lastBroken !== undefined && isSameOffer(this.lastBroken.offer, offer)) {
            return { kind: OfferOutcomeKind.Broken, faults: this.lastBroken.faults };
        }
        return this.parse(offer);
    }

    private parse(offer: VersionOffer): OfferOutcome<T, F> {
        const { version, editId, text } = offer;
        const parsed = this.options.parse(offer);
        if (parsed.err) {
            this.lastBroken = { offer: { version, editId, text }, faults: parsed.val };
            return { kind: OfferOutcomeKind.Broken, faults: parsed.val };
        }
        this.current = { version, editId, value: parsed.val };
        this.lastBroken = undefined;
        this.options.onAccepted?.(parsed.val);
        return { kind: OfferOutcomeKind.Accepted, value: parsed.val };
    }
}

function isSameOffer(left: VersionOffer, right: VersionOffer): boolean {
    return left.version === right.version && left.editId === right.editId && left.text === right.text;
}
