import type { Result } from "../result.ts";
import type { OfferOutcome } from "./offerOutcome.ts";
import { OfferOutcomeKind } from "./offerOutcomeKind.ts";
import type { VersionOffer } from "./versionOffer.ts";

/** Options of a {@link MonotonicFollower}. */
export interface MonotonicFollowerOptions<T, F> {
    /** Validates an offer and parses its value. */
    parse(offer: VersionOffer): Result<T, F>;
    /**
     * Called after a value was accepted.
     * @param value - Value that is now in force.
     */
    onAccepted?(value: T): void;
}

/**
 * Follows a value whose version only increases. Any number of sources may offer versions in any order and repeatedly: a lower version
 * or an invalid text never replaces the value in force. It does no I/O.
 */
export class MonotonicFollower<T, F> {
    private readonly options: MonotonicFollowerOptions<T, F>;
    private current: { version: number; editId: string; value: T; } | undefined;
    /** Last invalid offer, which is not parsed again if it is repeated. */
    private lastInvalid: { offer: VersionOffer; faults: F; } | undefined;

    private constructor(options: MonotonicFollowerOptions<T, F>) {
        this.options = options;
    }

    /**
     * Creates a follower with no value in force.
     * @param options - Parser of offers and callback for accepted values.
     */
    static create<T, F>(options: MonotonicFollowerOptions<T, F>): MonotonicFollower<T, F> {
        return new MonotonicFollower(options);
    }

    /** Gets the value in force, or undefined if there is none. */
    getCurrent(): T | undefined {
        return this.current?.value;
    }

    /** Gets the version in force, or 0 if there is none. */
    getVersion(): number {
        return this.current?.version ?? 0;
    }

    /**
     * Offers a version. It comes into force if it is newer than the one in force and its text is valid.
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
        if (this.lastInvalid !== undefined && isSameOffer(this.lastInvalid.offer, offer)) {
            return { kind: OfferOutcomeKind.Broken, faults: this.lastInvalid.faults };
        }
        return this.parse(offer);
    }

    private parse(offer: VersionOffer): OfferOutcome<T, F> {
        const { version, editId, text } = offer;
        const parsed = this.options.parse(offer);
        if (parsed.err) {
            this.lastInvalid = { offer: { version, editId, text }, faults: parsed.val };
            return { kind: OfferOutcomeKind.Broken, faults: parsed.val };
        }
        this.current = { version, editId, value: parsed.val };
        this.lastInvalid = undefined;
        this.options.onAccepted?.(parsed.val);
        return { kind: OfferOutcomeKind.Accepted, value: parsed.val };
    }
}

function isSameOffer(left: VersionOffer, right: VersionOffer): boolean {
    return left.version === right.version && left.editId === right.editId && left.text === right.text;
}
