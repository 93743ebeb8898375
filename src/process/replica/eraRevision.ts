/**
 * Leaves 43 bits for revisions and 10 bits for eras within the integers that a number holds exactly: with 3,200 changes a second a store
 * gets there in 87 years, while it is rarely restored.
 */
const eraFactor = 2 ** 43;
const eraCount = 2 ** 10;

/**
 * Revisions of a store that may be restored from an older snapshot and then give out revisions again. The store calls the time between two
 * such returns an era. An era revision is one number, so that revisions of different eras can't be compared wrongly: each revision of
 * a later era is higher than all of an earlier one. In era 0 it equals the store's revision.
 */
export const EraRevision = {
    /** Reduces the number by which the store names an era to the range that an era revision can hold. */
    toEra: (number: number): number => number % eraCount,
    /** Creates an era revision. */
    create: (era: number, revision: number): number => era * eraFactor + revision,
    /** Gets the era of an era revision. */
    getEra: (eraRevision: number): number => Math.floor(eraRevision / eraFactor),
    /** Gets the store's own revision. */
    getRevision: (eraRevision: number): number => eraRevision % eraFactor,
} as const;
