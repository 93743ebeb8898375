/**
 * Fencing numbers of a later era of the store are higher than all of an earlier one, since an older snapshot of the store does not
 * contain the last number that was given out.
 */
const fencingNumbersPerEra = 1_000_000;

/** The era of the store as a lease last saw it. The store increases it each time that it is restored from an older snapshot. */
export class LeaseEra {
    private readonly getStoreEra: () => number | undefined;
    private era: number | undefined;

    private constructor(getStoreEra: () => number | undefined) {
        this.getStoreEra = getStoreEra;
    }

    /**
     * Creates an instance that has seen no era yet.
     * @param getStoreEra - Gets the era of the store; undefined if it is unknown.
     */
    static create(getStoreEra: () => number | undefined): LeaseEra {
        return new LeaseEra(getStoreEra);
    }

    /** Gets the last seen era; 0 if there is none. */
    get(): number {
        return this.era ?? 0;
    }

    /** Takes over the store's era. Returns whether the store was restored since the last update. */
    update(): boolean {
        const era = this.getStoreEra();
        if (era === undefined || era === this.era) {
            return false;
        }
        const isFirst = this.era === undefined;
        this.era = era;
        return !isFirst;
    }

    /** Gets the next fencing number after the highest known one. */
    getNextFencingNumber(highest: number): number {
        return Math.max(highest, this.get() * fencingNumbersPerEra) + 1;
    }
}
